"""The state that a host fetches from another one, and its size.

Pattern: the store answers one host of a large fleet, and all others fetch its state at
the same moment.
"""

import random
from types import SimpleNamespace

import orjson
import pytest
from attrs import define, field
from result import Ok

from rosemaryyoke.hosts import transfer as transfers
from rosemaryyoke.hosts.tests.test_eras import (
    make_catalog,
    make_transfer,
    make_upstream,
)
from rosemaryyoke.hosts.tests.test_table import make_beacon
from rosemaryyoke.hosts.transfer import STATE_PATH, answer_state, encode_state
from rosemaryyoke.http1 import Response

HOSTS, UPSTREAMS = 195, 350  # of the largest deployment
LINK_BYTES_PER_S = 10e6 / 8
SPREAD_S = 0.6  # the time that a request for a state may take


@define
class Answer:
    """Takes the answer to a request for the state."""

    response: Response | None = None
    headers: list = field(factory=list)

    def send_response(self, status, reason, headers, body):
        """Keep the answer."""
        lowered = [(name.lower(), value) for name, value in headers]
        self.response = Response(status, body, lowered)


def ask(catalog, headers):
    """Send a host a request for its state; return the response."""
    lowered = [(name.lower(), value) for name, value in headers]
    answer = Answer()
    message = SimpleNamespace(target=STATE_PATH.encode(), headers=lowered)
    answer_state(catalog, message, answer)
    return answer.response


@pytest.fixture()
def asked(monkeypatch):
    """Let requests be answered by the catalog of another host; return their answers."""
    answers = SimpleNamespace(catalog=None, responses=[], is_earlier_build=False)

    def send_request(address, method, target, timeout_s, headers):
        headers = [] if answers.is_earlier_build else headers
        answers.responses.append(ask(answers.catalog, headers))
        return Ok(answers.responses[-1])

    monkeypatch.setattr(transfers, "send_request", send_request)
    return answers


def make_follower():
    """Return the catalog of a host that does not read the store."""
    catalog = make_catalog()
    catalog.unread_kinds.add("configuration")
    return catalog


def make_large_catalog():
    """Return a catalog with the upstreams of a large deployment."""
    rng = random.Random(1)
    return make_catalog(
        *(
            make_upstream(
                f"i-{rng.getrandbits(40):010x}",
                weights={"m1": 3},
                born_ms=1_769_595_826_000 + rng.randrange(100_000),
            )
            for _ in range(UPSTREAMS)
        )
    )


# Guards against hosts that wait for their turn at the link of the only one that knows a
# change.
def test_all_hosts_of_large_fleet_get_state_in_time(asked):
    asked.catalog = make_large_catalog()
    catalog = make_follower()
    assert make_transfer(catalog).fetch_from(make_beacon(2))
    assert len(catalog.upstreams) == UPSTREAMS
    size = len(asked.responses[0].body)
    print(f"{size} bytes of {len(encode_state(asked.catalog))}")
    assert (HOSTS - 1) * size / LINK_BYTES_PER_S < 2 * SPREAD_S


def test_state_of_earlier_build_is_read(asked):
    asked.catalog, asked.is_earlier_build = make_catalog(make_upstream("e1")), True
    catalog = make_follower()
    transfer = make_transfer(catalog)
    transfer.source = SimpleNamespace(
        decode_configuration=lambda stored: Ok(catalog.configuration)
    )
    assert transfer.fetch_from(make_beacon(2))
    assert set(catalog.upstreams) == {"e1"}
    assert orjson.loads(asked.responses[0].body)["configuration"] is not None


def test_malformed_state_is_no_answer(asked, monkeypatch):
    asked.catalog = make_catalog(make_upstream("e1"))
    monkeypatch.setattr(transfers, "compress", lambda text: text[:-1])
    assert not make_transfer(make_follower()).fetch_from(make_beacon(2))

"""Answers without end that a host gets through another one.

Pattern: a host reaches no upstream and forwards requests; the upstream that the other
host chooses sends bytes that are no answer until its connection is closed.
"""

import pytest

from rosemaryyoke.platform.tests.cut_hosts import SAFE, STREAMING, UNSAFE
from rosemaryyoke.platform.tests.deployment import script_all
from rosemaryyoke.platform.tests.test_broken_forwarded_answers import (
    fetch,
    forget_failures,
    read,
    start_fleet,
)
from rosemaryyoke.platform.tests.test_unbounded_responses import (
    MAX_READ_BYTES,
    UNBOUNDED_BODIES,
    UNBOUNDED_EVENTS,
    UNBOUNDED_HEADS,
    UnboundedStep,
)


@pytest.fixture(scope="module")
def fleet():
    fleet = start_fleet(2)
    yield fleet
    fleet.stop()


def send_to_faulty_upstreams(fleet, kind, step):
    """Forward a request whose first upstream answers by a step; return the answer."""
    forget_failures(fleet)
    script_all(fleet.engines if kind == STREAMING else fleet.records, step)
    return read(fetch(fleet, kind))


# Guards against a host that keeps what another one passes on, or that passes it on.
@pytest.mark.parametrize("form", [*UNBOUNDED_HEADS, *UNBOUNDED_BODIES])
@pytest.mark.parametrize("kind", (SAFE, UNSAFE))
def test_unbounded_forwarded_answer_is_given_up(fleet, kind, form):
    step = UnboundedStep(*{**UNBOUNDED_HEADS, **UNBOUNDED_BODIES}[form])
    answer = send_to_faulty_upstreams(fleet, kind, step)
    assert answer.complete
    assert answer.status == (200 if kind == SAFE else 502)
    assert 0 < step.sent_bytes < MAX_READ_BYTES


# Guards against the same in streams, which go on at another engine.
@pytest.mark.parametrize("form", [*UNBOUNDED_HEADS, *UNBOUNDED_EVENTS])
def test_unbounded_forwarded_stream_is_left_for_another_engine(fleet, form):
    step = UnboundedStep(*{**UNBOUNDED_HEADS, **UNBOUNDED_EVENTS}[form])
    answer = send_to_faulty_upstreams(fleet, STREAMING, step)
    assert answer.complete and answer.status == 200
    assert bytes(answer.body).count(b"id: ") == 5
    assert 0 < step.sent_bytes < MAX_READ_BYTES

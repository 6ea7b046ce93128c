"""Upstreams whose answers have no end take no host's memory.

Pattern: many callers wait at the same time for an engine or a service in trouble, which
sends nearly as much as a body may have and then nothing, to whatever it is asked.
"""

from concurrent.futures import ThreadPoolExecutor

import pytest

from rosemaryyoke.entry.tests.faulty_upstreams import MODEL, SERVICE, FaultyUpstream
from rosemaryyoke.entry.tests.hostile_loads import ask_ordinary, peak_mb, reset_peak
from rosemaryyoke.entry.tests.test_hostile_clients import MAX_CONNECTIONS, MEMORY_MB
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.testing.builders import System, api_key
from rosemaryyoke.wire import HttpRequest, json_request, send

pytestmark = pytest.mark.hostile_clients

CALLERS = 40
CALL_TIMEOUT_S = 15.0
READ_TIMEOUT_S = 3.0
KEY = "k1"


@pytest.fixture()
def faulty():
    upstream = FaultyUpstream()
    yield upstream
    upstream.stop()


@pytest.fixture()
def system(faulty):
    settings = {"memory_mb": MEMORY_MB, "max_connections": MAX_CONNECTIONS}
    with System(
        engines=1,
        services=1,
        hosts=1,
        host_settings=settings,
        extra_rules=faulty.rules_text(),
    ) as running:
        assert ask_ordinary(running) == "ok"
        reset_peak(running.processes["host0"])
        yield running


def ask_engine(system):
    """Send a request for a stream; return the outcome."""
    body = {"model": MODEL, "prompt": "a", "max_tokens": 2, "stream": True}
    return call(system, "/v1/completions", body)


def ask_service(system):
    """Send a call that runs at most once by its key; return the outcome."""
    return call(system, f"/services/{SERVICE}/issue", {}, {"Idempotency-Key": KEY})


def read_service(system):
    """Send a call that may be repeated, and give up after a while."""
    url = f"http://{system.address('host0')}/services/{SERVICE}/read"
    headers = {"Authorization": f"Bearer {api_key('cedar')}"}
    return send(HttpRequest("GET", url, headers, timeout_s=READ_TIMEOUT_S))


def call(system, path, body, headers=None):
    """Send a request to the host; return the outcome."""
    url = f"http://{system.address('host0')}{path}"
    headers = {"Authorization": f"Bearer {api_key('cedar')}", **(headers or {})}
    options = {"timeout_s": CALL_TIMEOUT_S, "fresh_connection": True}
    return send(json_request("POST", url, body, headers=headers, **options))


def call_at_once(ask, system):
    """Let all callers ask at the same time; wait for the ends of their requests."""
    with ThreadPoolExecutor(CALLERS) as pool:
        return [*pool.map(lambda _: ask(system), range(CALLERS))]


def assert_unharmed(system, faulty):
    """Check the process, its memory and one ordinary request."""
    process = system.processes["host0"]
    assert process.popen.poll() is None, "the process has ended"
    print(f"{faulty.unbounded} answers without end, peak {peak_mb(process):.0f} MB")
    assert faulty.unbounded
    assert peak_mb(process) < MEMORY_MB
    assert ask_ordinary(system) == "ok"


# Guards against bodies of errors that are kept though nobody reads them.
def test_errors_without_end_of_an_engine_hold_little_memory(system, faulty):
    call_at_once(ask_engine, system)
    assert_unharmed(system, faulty)


# Guards against lookups of outcomes, one for each repeated call, that are not counted.
def test_lookups_without_end_hold_little_memory(system, faulty):
    first = ask_service(system)
    assert first.ok_value.status == 502  # whether the call has run is unknown
    # The service is not asked again at once.
    wait_for(lambda: ask_service(system) and faulty.unbounded, 15.0)
    call_at_once(ask_service, system)
    assert faulty.unbounded > CALLERS / 2
    assert_unharmed(system, faulty)


# Guards against reports of load that are kept up to the limit of a body.
def test_load_reports_without_end_hold_little_memory(system, faulty):
    faulty.reports_without_end = True
    wait_for(lambda: faulty.unbounded >= 8, 20.0)
    assert_unharmed(system, faulty)


# Guards against responses of a service that are kept for many callers.
def test_responses_without_end_of_a_service_hold_little_memory(system, faulty):
    call_at_once(read_service, system)
    assert_unharmed(system, faulty)

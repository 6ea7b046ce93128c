"""An engine that is slow under load is not taken for a dead one.

Pattern: an overloaded large fleet, in which a host sees few answers of each engine.
"""

from types import SimpleNamespace

import pytest
from result import Err, Ok

from rosemaryyoke.exchanges.attempt import AttemptFailed
from rosemaryyoke.exchanges.messages import RequestMetadata
from rosemaryyoke.exchanges.tests.builders import make_forwarder
from rosemaryyoke.fleet.tests.builders import make_state

TIMEOUT = AttemptFailed("no progress", may_have_run=True, timed_out=True)


class Engines:
    """Engines that all give the same answer to a request for their report."""

    def __init__(self, reply):
        self.reply = reply
        self.asked = []

    def report(self, address, timeout_s):
        """Return the reply."""
        self.asked.append(address)
        return self.reply


def fail_attempt(reply, outcome=TIMEOUT, **changes):
    """Let an attempt fail at an engine; return the engine's state and the engines."""
    engines, state = Engines(reply), make_state(**changes)
    forwarder = make_forwarder(engines)
    exchange = SimpleNamespace(
        request_id="r1",
        metadata=RequestMetadata(),
        may_have_run=False,
        run_count=0,
        connect_failures=0,
        age_ms=lambda: 1_000,
        relay=None,
        received=None,
        software=None,
        via=None,
        forwarded_by=None,
    )
    checked = forwarder.check_health(exchange, state, outcome)
    placement = SimpleNamespace(state=state)
    attempt = SimpleNamespace(started_s=0.0)
    forwarder.record_outcome(exchange, placement, attempt, checked)
    return state, engines


def test_busy_engine_is_not_silent_after_timeout():
    state, engines = fail_attempt(Ok("report"))
    assert engines.asked == [state.upstream.address]
    assert not state.silent and state.failures == 0 and state.suspect_until_s > 0


def test_dead_engine_is_silent_after_timeout():
    state, _ = fail_attempt(Err("no connection"))
    assert state.silent and state.failures == 1


@pytest.mark.parametrize(
    "outcome, changes",
    [
        (AttemptFailed("connection lost", may_have_run=True), {}),
        (TIMEOUT, {"traits": None}),
    ],
)
def test_only_engines_that_timed_out_are_asked(outcome, changes):
    state, engines = fail_attempt(Ok("report"), outcome, **changes)
    assert engines.asked == [] and state.silent

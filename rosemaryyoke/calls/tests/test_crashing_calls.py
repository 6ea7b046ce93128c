"""Calls that crash each instance of a plain service that runs them."""

import pytest
from attrs import define, field, frozen
from result import Err, Ok

from rosemaryyoke.calls import services
from rosemaryyoke.calls.services import ServiceCall, ServiceCalls
from rosemaryyoke.core import EventRecorder, Kernel, Metrics
from rosemaryyoke.quarantine.tests.builders import review_for
from rosemaryyoke.rules import RuleSet, Upstream
from rosemaryyoke.rules.model import SERVICE_KIND, PlainService, UnsafeCall
from rosemaryyoke.streams.tests.builders import StubQuarantineService
from rosemaryyoke.wire import HttpResponse
from rosemaryyoke.wire.errors import TransportError

INSTANCES = 8
STABLE_S = 3.0
REPEATS = 20
MAX_REPEATS = 3
BAD, SOUND = b"bad", b"sound"
SERVICE = PlainService("records", (UnsafeCall("POST", "/issue"),))
RULES = RuleSet()
RULES.upstreams.update(
    {
        f"r{number}": Upstream(f"r{number}", SERVICE_KIND, "a:1", "d", "records")
        for number in range(INSTANCES)
    }
)


@frozen
class StubDirectory:
    """Directory whose upstreams are all usable."""

    def usable(self, upstreams, excluded):
        """Return the upstreams that are not excluded."""
        return [item for item in upstreams if item.name not in excluded]

    def record_failure(self, name):
        """Do nothing."""


@define
class Instances:
    """Instances that crash under a body and are back at once."""

    arrivals: list = field(factory=list)

    def send(self, request):
        """Answer a request, or break it off."""
        self.arrivals.append(request.body)
        if request.body == BAD:
            return Err(TransportError("closed", sent=True, broken_off=True))
        return Ok(HttpResponse(200, {}, b"ok"))


@pytest.fixture()
def instances(monkeypatch):
    instances = Instances()
    monkeypatch.setattr(services, "send", instances.send)
    return instances


@pytest.fixture()
def calls():
    kernel = Kernel()
    kernel.add("directory", StubDirectory())
    kernel.add("claims", None)
    kernel.add("recorder", EventRecorder("test"))
    kernel.add("metrics", Metrics())
    kernel.add("quarantine", StubQuarantineService())
    calls = ServiceCalls(kernel)
    calls.start()
    return calls


def run(calls, body, path="/status", account="t1"):
    """Run a call and return its result."""
    calls.quarantine.review()
    call = ServiceCall(account, SERVICE, "POST", path, "", "", body)
    return calls.run(RULES, call)


# Guards against a call that goes on to crash instances after the third.
@pytest.mark.parametrize("path", ["/status", "/issue"])
def test_call_that_crashed_instances_reaches_no_more(calls, instances, path):
    while len(instances.arrivals) < 3:
        run(calls, BAD, path)
    review_for(calls.quarantine, STABLE_S)
    before = len(instances.arrivals)
    results = [run(calls, BAD, path) for _ in range(REPEATS)]
    assert len(instances.arrivals) - before <= MAX_REPEATS
    assert results[-1].err_value.code == "quarantined"
    assert results[-1].err_value.not_run
    assert run(calls, SOUND, path).is_ok() and run(calls, SOUND, path, "t2").is_ok()


def test_sound_call_is_answered_repeatedly(calls, instances):
    assert all(run(calls, SOUND).is_ok() for _ in range(REPEATS))
    assert len(instances.arrivals) == REPEATS

"""Orders by which a new lease holder gives its fencing token to engines."""

import time

import pytest
from attrs import define, field
from result import Ok

from rosemaryyoke.core import EventRecorder, Kernel
from rosemaryyoke.objects.leases import now_s
from rosemaryyoke.rules.model import ENGINE_KIND, Model, RuleSet, Upstream
from rosemaryyoke.upstreams.directory import UpstreamDirectory
from rosemaryyoke.upstreams.engine import LoadReport
from rosemaryyoke.upstreams.orders import (
    MAX_ORDER_DURATION_S,
    ModelRollout,
    RolloutController,
)

MODEL = Model("m", "v3")
ENGINE = Upstream("e", ENGINE_KIND, "a:1", "d", "m", fencing=True)
RULES = RuleSet((MODEL, ENGINE))


@define
class StubLease:
    """A lease that this host holds since a time."""

    acquired_at_s: float = field(factory=now_s)
    fencing_token: int = 7


@define
class StubEngine:
    """The adapter of an engine, which records its orders."""

    weights: str
    orders: list = field(factory=list)

    def get_load_report(self, address):
        """Return what is loaded now."""
        return Ok(LoadReport("i", self.weights))

    def load_weights(self, address, order):
        """Store the order."""
        self.orders.append((order.weights, order.fencing))
        return Ok(None)


def make_controller(engine):
    """Return a controller whose directory has heard nothing of the engine."""
    kernel = Kernel()
    directory = UpstreamDirectory(kernel)
    directory.engine_adapter = engine
    controller = RolloutController(kernel, None)
    controller.directory = directory
    controller.recorder = EventRecorder("test")
    directory.apply_rules(RULES)
    return controller


def fence(controller, lease):
    """Fence off the previous holder; return whether this is done."""
    states = controller.engine_states(RULES, MODEL)
    return controller.fence_previous_holder(ModelRollout(lease), states)


# Guards against an engine that is ordered back to the weights that it had at its last
# report, as the previous holder's order was carried out since then.
def test_engine_is_fenced_with_the_weights_that_it_has_now():
    engine = StubEngine("v2")
    controller = make_controller(engine)
    controller.directory.apply_load_report("e", LoadReport("i", "v1"), time.monotonic())
    assert fence(controller, StubLease())
    assert engine.orders == [("v2", 7)]


# Guards against an order to load no weights, at an engine that has not reported yet.
def test_engine_without_a_report_is_fenced_with_its_weights():
    engine = StubEngine("v2")
    assert fence(make_controller(engine), StubLease())
    assert engine.orders == [("v2", 7)]


# Guards against an engine that is taken for fenced though its weights are unknown.
@pytest.mark.parametrize("age_s", [0.0, MAX_ORDER_DURATION_S + 1.0])
def test_engine_whose_weights_stay_unknown_is_waited_for(age_s):
    engine = StubEngine("")
    lease = StubLease(now_s() - age_s)
    assert fence(make_controller(engine), lease) == (age_s > 0.0)
    assert engine.orders == []

"""Which weights a request is placed under while beliefs about engines change."""

import pytest

from rosemaryyoke.core import Kernel
from rosemaryyoke.placement.blocks import Scope, hash_blocks
from rosemaryyoke.placement.fleet import EngineView
from rosemaryyoke.placement.service import PlacementService
from rosemaryyoke.rules.model import ENGINE_KIND, Model, Route, RuleSet, Upstream
from rosemaryyoke.upstreams.directory import UpstreamDirectory

ACCOUNT = "account"
PROMPT = "p" * 200
ROUTE = Route("m")
OLD, NEW = "v1", "v2"


class ChangingView(EngineView):
    """An engine whose believed weights differ from one reading to the next."""

    readings: tuple[str, ...] = ("",)

    @property
    def weights(self) -> str:
        """Return the next reading; the last one stays."""
        first, self.readings = self.readings[0], self.readings[1:] or self.readings
        return first

    @weights.setter
    def weights(self, value: str) -> None:
        self.readings = (value,)


def make_placement(*readings):
    """Return a placement service with an engine for each tuple of readings."""
    kernel = Kernel()
    directory = UpstreamDirectory(kernel)
    kernel.add("directory", directory)
    placement = PlacementService(kernel)
    placement.start()
    names = [f"e{number}" for number in range(len(readings))]
    upstreams = [Upstream(name, ENGINE_KIND, "a:1", "d", "m") for name in names]
    rules = RuleSet((Model("m", NEW), ROUTE, *upstreams))
    directory.apply_rules(rules)
    for name, values in zip(names, readings):
        view = ChangingView(name)
        view.readings = values
        directory.fleet.engines[name] = view
    return placement, rules


def place(readings, required=""):
    """Return the decision on a request under the given readings."""
    placement, rules = make_placement(*readings)
    return placement.place(rules, ROUTE, ACCOUNT, PROMPT, set(), required)


# Guards against a stream that goes on under weights other than those of its tokens, as
# the engine's weights change after the engine was found to have the required ones.
@pytest.mark.parametrize("engines", [1, 3])
def test_weights_change_while_a_stream_is_placed(engines):
    decision = place([(OLD, NEW)] * engines, required=OLD).ok_value
    assert decision.weights == OLD


# Guards against blocks of one version under the hash of another one.
@pytest.mark.parametrize(
    "readings", [(OLD, NEW), (NEW, OLD), (OLD, ""), ("", OLD), ("", NEW)]
)
def test_scope_and_expected_weights_are_of_one_reading(readings):
    decision = place([readings, (OLD,)]).ok_value
    assert decision.chain == hash_blocks(Scope(ACCOUNT, "m", decision.weights), PROMPT)


# Guards against a scope that the blocks of all versions share.
def test_unknown_weights_are_expected_to_be_the_wanted_ones():
    assert place([("",)]).ok_value.weights == NEW


# Guards against a stream that goes on at an engine of unknown weights.
def test_engine_of_unknown_weights_continues_no_stream():
    assert place([("",), (NEW,)], required=OLD).is_err()
    assert place([("",)], required=NEW).is_err()

import time

from result import Ok

from rosemaryyoke.core import Kernel
from rosemaryyoke.rules.model import ENGINE_KIND, RuleSet, Upstream
from rosemaryyoke.upstreams.directory import UpstreamDirectory, polls_per_period
from rosemaryyoke.upstreams.engine import LoadReport


def test_small_fleet_is_polled_each_second():
    assert [polls_per_period(count) for count in (0, 1, 9, 16)] == [0, 1, 5, 8]


def test_large_fleet_is_polled_one_at_a_time():
    assert polls_per_period(600) == 1


def make_directory(address="a:1"):
    """Return a directory that knows an engine at an address."""
    directory = UpstreamDirectory(Kernel())
    directory.apply_rules(make_rules(address))
    return directory


def make_rules(address):
    """Return rules with one engine."""
    return RuleSet((Upstream("e", ENGINE_KIND, address, "d", "m"),))


# Guards against requests that expect, at a new engine, the weights of the one whose
# name it has taken over.
def test_engine_at_another_address_has_unknown_weights():
    directory = make_directory()
    directory.apply_load_report("e", LoadReport("i", "v1"), time.monotonic())
    assert directory.fleet.engines["e"].weights == "v1"
    directory.apply_rules(make_rules("b:2"))
    assert directory.fleet.engines["e"].weights == ""
    assert directory.states["e"].weights == ""


# Guards against a report of the engine before that is taken for one of the new engine,
# as it arrives after the change.
def test_report_from_the_address_before_is_ignored():
    directory = make_directory()

    class LateEngine:
        """An engine whose report arrives after its name was given to another."""

        def get_load_report(self, address):
            """Change the rules and return a report."""
            directory.apply_rules(make_rules("b:2"))
            return Ok(LoadReport("i", "v1"))

    directory.engine_adapter = LateEngine()
    directory.poll_upstream("e")
    assert directory.states["e"].weights == ""
    assert directory.fleet.engines["e"].weights == ""

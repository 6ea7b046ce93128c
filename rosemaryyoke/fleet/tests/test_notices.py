"""What upstreams announce in their answers: that they leave, or ask for a pause."""

from random import Random

import pytest
from attrs import evolve
from result import Err

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.exchanges.messages import ResponseMetadata
from rosemaryyoke.fleet import ActiveRequest, Chooser, Fleet
from rosemaryyoke.fleet.notices import (
    MAX_PAUSE_S,
    MAX_REPORTED_DEPARTURES,
    UNLISTED_TTL_S,
    incarnation_key,
)
from rosemaryyoke.fleet.tests.builders import NOW_S, make_request, make_state
from rosemaryyoke.http1 import Address

LEAVING = ResponseMetadata(b"r1", True, False, leaving=True)
BORN_MS = 1_700_000_000_000
PROBE_ALWAYS = 1.0


def paused(pause_s):
    """Return the metadata of a refusal that asks for a pause."""
    return ResponseMetadata(b"r1", True, True, retry_after_s=pause_s)


class Deployment:
    """A fleet of registered engines and a clock."""

    def __init__(self, engines=3, born_ms=BORN_MS):
        self.now_s = NOW_S
        self.catalog = Catalog()
        self.fleet = Fleet(self.catalog, now_s=lambda: self.now_s)
        self.catalog.subscribe(self.fleet.refresh)
        names = [f"e{number}" for number in range(1, engines + 1)]
        registered = [make_state(name, born_ms=born_ms).upstream for name in names]
        self.register({item.name: item for item in registered})

    def register(self, upstreams):
        """Replace all registrations."""
        self.catalog.replace_upstreams(upstreams)

    def change(self, name, **changes):
        """Change the registration of an engine."""
        upstreams = dict(self.catalog.upstreams)
        upstreams[name] = evolve(upstreams[name], **changes)
        self.register(upstreams)

    def remove(self, name):
        """Remove the registration of an engine and return it."""
        upstreams = dict(self.catalog.upstreams)
        removed = upstreams.pop(name)
        self.register(upstreams)
        return removed

    def receive(self, name, metadata):
        """Record the head of an answer of an engine."""
        self.fleet.record_notices(self.fleet.states[name], metadata)

    def place(self, request=None, excluded=(), seed=None):
        """Place a request; return the outcome."""
        chooser = Chooser(generator=Random(seed))
        states = list(self.fleet.states.values())
        request = request or make_request()
        return chooser.choose(request, states, set(excluded), self.now_s)

    def chosen(self, count=40, **options):
        """Return the engines chosen for some requests."""
        outcomes = [self.place(seed=seed, **options) for seed in range(count)]
        return {
            "" if isinstance(item, Err) else item.ok_value.state.upstream.name
            for item in outcomes
        }


@pytest.fixture()
def deployment():
    """Return three registered engines."""
    return Deployment()


def leaves(deployment, name="e1"):
    """Return whether an engine gets no requests although all others are excluded."""
    others = deployment.fleet.states.keys() - {name}
    return deployment.chosen(1, excluded=others) == {""}


def test_engine_that_announced_its_leaving_gets_no_new_request(deployment):
    """Pattern: an engine says in an answer that it leaves, and registers as ready."""
    home = deployment.place().ok_value.state.upstream.name
    deployment.receive(home, LEAVING)
    assert home not in deployment.chosen()
    assert leaves(deployment, home)


def test_leaving_engine_is_no_last_resort_and_is_not_probed(deployment):
    for name, state in deployment.fleet.states.items():
        deployment.receive(name, LEAVING)
        state.record_failure(NOW_S)
    request = evolve(make_request(time_left_s=1.0), probe_share=PROBE_ALWAYS)
    assert deployment.chosen(request=request) == {""}
    deployment.now_s += 10.0
    assert deployment.chosen(request=request) == {""}


def test_ready_registration_does_not_undo_the_announcement(deployment):
    """Pattern: heartbeats of the store, and older entries of it, say ready on."""
    deployment.receive("e1", LEAVING)
    deployment.change("e1", cold_s=1.0)
    assert leaves(deployment)
    deployment.change("e1", draining=True)
    deployment.change("e1", draining=False)
    assert leaves(deployment)


def test_later_answer_does_not_undo_the_announcement(deployment):
    deployment.receive("e1", LEAVING)
    deployment.receive("e1", evolve(LEAVING, leaving=False))
    assert leaves(deployment)


def test_engine_back_after_lapse_of_its_registration_still_leaves(deployment):
    """Pattern: the store loses seconds, and lists an engine that had gone."""
    deployment.receive("e1", LEAVING)
    removed = deployment.remove("e1")
    deployment.now_s += 5.0
    deployment.register({**deployment.catalog.upstreams, "e1": removed})
    assert leaves(deployment)


def test_answer_that_began_before_a_lapse_announces_leaving(deployment):
    """Pattern: an answer begins after the engine's registration lapsed and returned."""
    state = deployment.fleet.states["e1"]
    removed = deployment.remove("e1")
    deployment.register({**deployment.catalog.upstreams, "e1": removed})
    assert deployment.fleet.states["e1"] is not state
    deployment.fleet.record_notices(state, LEAVING)
    assert leaves(deployment)


def test_answer_of_an_earlier_incarnation_announces_nothing_of_the_next(deployment):
    state = deployment.fleet.states["e1"]
    deployment.change("e1", born_ms=BORN_MS + 1)
    deployment.fleet.record_notices(state, LEAVING)
    assert not leaves(deployment)


def test_announcement_is_forgotten_after_the_registration(deployment):
    deployment.receive("e1", LEAVING)
    deployment.remove("e1")
    deployment.now_s += UNLISTED_TTL_S + 1.0
    deployment.change("e2", cold_s=1.0)
    assert not deployment.fleet.notices.notices


@pytest.mark.parametrize(
    "change", [{"born_ms": BORN_MS + 1}, {"address": Address("127.0.0.1", 2)}]
)
def test_next_incarnation_of_leaving_engine_gets_requests(deployment, change):
    """Pattern: an engine starts again under the name that it had."""
    deployment.receive("e1", LEAVING)
    deployment.receive("e1", paused(60.0))
    deployment.change("e1", **change)
    assert not leaves(deployment)


def test_next_incarnation_holds_nothing_of_before(deployment):
    state = deployment.fleet.states["e1"]
    state.record_failure(NOW_S)
    deployment.change("e1", born_ms=BORN_MS + 1)
    assert deployment.fleet.states["e1"] is not state
    assert not deployment.fleet.states["e1"].silent


def test_engine_of_unknown_birth_is_new_after_its_registration_was_gone():
    deployment = Deployment(born_ms=0)
    deployment.receive("e1", LEAVING)
    deployment.change("e1", cold_s=1.0)
    assert leaves(deployment)
    removed = deployment.remove("e1")
    deployment.register({**deployment.catalog.upstreams, "e1": removed})
    assert not leaves(deployment)


def test_registration_without_birth_is_of_the_known_incarnation(deployment):
    deployment.receive("e1", LEAVING)
    deployment.change("e1", born_ms=0)
    assert leaves(deployment)


def test_reported_departure_concerns_one_incarnation(deployment):
    """Pattern: a host reports an engine that has started again since."""
    other = Deployment()
    other.receive("e1", LEAVING)
    reported = other.fleet.departures()
    deployment.change("e1", born_ms=BORN_MS + 1)
    deployment.fleet.record_departures("h2", reported)
    assert not leaves(deployment)
    deployment.change("e1", born_ms=BORN_MS)
    deployment.fleet.record_departures("h2", reported)
    assert leaves(deployment)


def test_reported_departure_is_passed_on(deployment):
    other = Deployment()
    other.receive("e1", LEAVING)
    deployment.fleet.record_departures("h2", other.fleet.departures())
    assert deployment.fleet.departures() == other.fleet.departures() != ()


def test_repeated_report_of_a_departure_looks_at_few_engines():
    """Pattern: in a large fleet, each host repeats a departure in every beacon."""
    deployment, other = (Deployment(engines=100) for _ in range(2))
    deployment.receive("e1", LEAVING)
    reported = deployment.fleet.departures()
    other.fleet.record_departures("h1", reported)
    before = incarnation_key.cache_info().hits
    other.fleet.record_departures("h2", reported)
    assert incarnation_key.cache_info().hits - before < 10


def test_departures_that_the_store_lists_are_not_reported(deployment):
    deployment.receive("e1", LEAVING)
    deployment.change("e1", draining=True)
    assert deployment.fleet.departures() == ()


def test_departures_that_do_not_fit_are_reported_in_later_datagrams():
    """Pattern: many engines leave at once."""
    deployment, other = (Deployment(engines=20) for _ in range(2))
    for name in deployment.fleet.states:
        deployment.receive(name, LEAVING)
    for _ in range(40):
        reported = deployment.fleet.departures()
        assert len(reported) == MAX_REPORTED_DEPARTURES
        other.fleet.record_departures("h1", reported)
    assert all(state.draining for state in other.fleet.states.values())


def test_engine_gets_nothing_until_its_retry_after_ends(deployment):
    home = deployment.place().ok_value.state.upstream.name
    deployment.receive(home, paused(2.0))
    assert home not in deployment.chosen()
    deployment.now_s += 1.99
    assert home not in deployment.chosen()
    deployment.now_s += 0.02
    assert home in deployment.chosen()


def test_paused_engine_is_no_last_resort(deployment):
    """Pattern: all engines are suspect, the one whose suspicion ends first paused."""
    for number, state in enumerate(deployment.fleet.states.values()):
        state.suspect_until_s = NOW_S + 1.0 + number
    deployment.receive("e1", paused(5.0))
    assert deployment.chosen() == {"e2"}


def test_paused_silent_engine_is_not_probed(deployment):
    deployment.receive("e1", paused(5.0))
    deployment.fleet.states["e1"].record_failure(NOW_S)
    request = evolve(make_request(time_left_s=1.0), probe_share=PROBE_ALWAYS)
    options = {"request": request, "excluded": ("e2", "e3")}
    deployment.now_s += 1.0
    assert deployment.chosen(**options) == {""}
    deployment.now_s += 5.0
    assert deployment.chosen(**options) == {"e1"}


@pytest.mark.parametrize("notice", [LEAVING, paused(60.0)])
def test_request_about_to_be_rejected_does_not_probe(deployment, notice):
    """Pattern: all other engines are full; the silent one wants no requests."""
    silent, *others = deployment.fleet.states.values()
    silent.record_failure(NOW_S)
    for state in others:
        state.under_way.update(ActiveRequest(1_000, 0, NOW_S) for _ in range(300))
    deployment.now_s += 1.0
    request = make_request(time_left_s=1.0)
    assert deployment.chosen(request=request) == {"e1"}
    deployment.receive("e1", notice)
    assert deployment.chosen(request=request) == {""}


def test_shorter_pause_does_not_end_a_longer_one(deployment):
    deployment.receive("e1", paused(5.0))
    deployment.now_s += 0.1
    deployment.receive("e1", paused(0.5))
    deployment.now_s += 1.0
    assert leaves(deployment)


def test_pause_outlasts_the_lapse_of_a_registration(deployment):
    deployment.receive("e1", paused(5.0))
    removed = deployment.remove("e1")
    deployment.register({**deployment.catalog.upstreams, "e1": removed})
    assert leaves(deployment)


def test_pause_is_bounded(deployment):
    deployment.receive("e1", paused(1e12))
    deployment.now_s += MAX_PAUSE_S + 0.1
    assert not leaves(deployment)


def test_pause_is_not_reported_to_other_hosts(deployment):
    deployment.receive("e1", paused(5.0))
    assert deployment.fleet.departures() == ()


def test_paused_engine_is_still_ordered_to_load_weights(deployment):
    deployment.receive("e1", paused(5.0))
    state = deployment.fleet.states["e1"]
    assert state.usable(NOW_S) and not state.accepts_requests(NOW_S)


@pytest.mark.parametrize("excluded", [(), ("e1",), ("e1", "e2", "e3")])
def test_request_with_only_quiet_engines_is_rejected_with_the_earliest_end(
    deployment, excluded
):
    for name, pause_s in (("e1", 3.0), ("e2", 1.5), ("e3", 2.0)):
        deployment.receive(name, paused(pause_s))
    deployment.now_s += 0.5
    rejected = deployment.place(excluded=excluded).err_value
    assert rejected.min_retry_after_s == pytest.approx(1.0)
    assert rejected.retry_after_s > 0


def test_earliest_end_ignores_leaving_engines(deployment):
    for name, pause_s in (("e1", 3.0), ("e2", 1.5)):
        deployment.receive(name, paused(pause_s))
    deployment.receive("e3", LEAVING)
    assert deployment.place().err_value.min_retry_after_s == pytest.approx(1.5)


def test_request_refused_elsewhere_is_not_held_back_by_a_pause(deployment):
    """Pattern: one engine asked for a pause, the others are only excluded now."""
    deployment.receive("e1", paused(60.0))
    rejected = deployment.place(excluded=("e2", "e3")).err_value
    assert rejected.min_retry_after_s == 0.0


def test_notices_are_logged_with_their_upstream(deployment, caplog):
    caplog.set_level("INFO", logger="absl")
    malformed = ResponseMetadata(b"r1", True, True, malformed_retry_after=b"soon")
    for metadata in (LEAVING, LEAVING, paused(2.0), paused(1.0), malformed):
        deployment.receive("e1", metadata)
    logged = [(item.getMessage(), item.fields) for item in caplog.records]
    assert [message for message, _ in logged] == [
        "upstream leaving",
        "upstream paused",
        "malformed retry time ignored",
    ]
    assert {fields["upstream"] for _, fields in logged} == {"e1"}


def test_announcement_is_logged_once(deployment, caplog):
    caplog.set_level("INFO", logger="absl")
    for _ in range(2):
        deployment.receive("e1", LEAVING)
    (record,) = caplog.records
    assert record.getMessage() == "upstream leaving"
    assert record.fields["upstream"] == "e1"

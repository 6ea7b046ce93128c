"""Guards against requests lost to silent engines, which look idle to every host.

An attempt at a silent engine uses up part of the request's deadline. So only a few
requests probe such an engine, one at a time.
"""

import heapq
import random

from attrs import define, evolve, field

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.fleet import Chooser, Fleet, PromptPrefill
from rosemaryyoke.fleet.tests.builders import NOW_S, make_ask, make_request, make_state

HOSTS = 16
ENGINES = 18
SILENT_ENGINES = 4
REQUESTS_PER_S = 86
SECONDS = 12
DETECTION_S = 1.0  # nearly every host has detected each silent engine by then
CONNECT_S = 0.3
ANSWER_S = 0.2
MAX_WASTED_SHARE = 0.05  # 95 % of first tokens must be in time


@define(eq=False, slots=False)
class SilentEngineSimulation:
    """Hosts that place requests on engines, some of which never answer."""

    seed: int
    hosts: int = HOSTS
    engines: int = ENGINES
    silent_engines: int = SILENT_ENGINES
    requests_per_s: int = REQUESTS_PER_S
    detection_s: float = DETECTION_S
    report_period_s: float = 0.0
    sessions: int = 1
    clock_s: float = NOW_S
    wasted: int = 0
    events: list = field(factory=list)
    fleets: list = field(factory=list)

    def __attrs_post_init__(self):
        self.random = random.Random(self.seed)
        self.chooser = Chooser(generator=random.Random(self.seed))
        for _ in range(self.hosts):
            fleet = Fleet(Catalog(), now_s=lambda: self.clock_s)
            fleet.states = {f"e{n}": make_state(f"e{n}") for n in range(self.engines)}
            fleet.hosts = self.hosts
            self.fleets.append(fleet)

    def schedule(self, delay_s, action, *arguments):
        item = (self.clock_s + delay_s, len(self.events), self.random.random())
        heapq.heappush(self.events, (*item, action, arguments))

    def simulate(self):
        """Return the share of requests after ``detection_s`` sent to silent engines."""
        for number in range(self.requests_per_s * SECONDS):
            self.schedule(number / self.requests_per_s, self.request)
        for number in range(self.hosts if self.report_period_s else 0):
            self.schedule(
                self.report_period_s * number / self.hosts, self.report_silence, number
            )
        until_s = self.clock_s + SECONDS
        while self.events and self.events[0][0] < until_s:
            self.clock_s, _, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.wasted / (self.requests_per_s * (SECONDS - self.detection_s))

    def request(self):
        """Place a request, which is answered or fails after a timeout."""
        fleet = self.random.choice(self.fleets)
        states = list(fleet.states.values())
        session = f"s{self.random.randrange(self.sessions)}"
        request = evolve(
            make_request(make_ask(session)), probe_share=fleet.probe_share()
        )
        chosen = self.chooser.choose(request, states, set(), self.clock_s)
        state = chosen.ok_value.state
        active = fleet.begin(state, 0, 0)
        if int(state.upstream.name[1:]) >= self.silent_engines:
            self.schedule(ANSWER_S, self.record_answer, fleet, state, active)
            return
        self.wasted += self.clock_s >= NOW_S + self.detection_s
        self.schedule(CONNECT_S, self.record_failure, fleet, state, active)

    def report_silence(self, number):
        """Report silent engines and completed prefills to the other hosts."""
        silent = self.fleets[number].silent_upstreams(())
        reads = self.fleets[number].next_unsent_prefills()
        for fleet in self.fleets[:number] + self.fleets[number + 1 :]:
            fleet.update_silent(f"h{number}", silent)
            for read in reads:
                fleet.record_remote_prefill(read)
        self.schedule(self.report_period_s, self.report_silence, number)

    def record_answer(self, fleet, state, active):
        fleet.end(state, active)
        state.record_answer(True, self.clock_s)
        fleet.unsent_prefills.append(PromptPrefill(state.upstream.name, ()))

    def record_failure(self, fleet, state, active):
        fleet.end(state, active)
        state.record_failure(self.clock_s)


def test_silent_engines_delay_few_requests():
    shares = [SilentEngineSimulation(seed).simulate() for seed in (1, 2, 3)]
    assert max(shares) <= MAX_WASTED_SHARE


def test_silent_engines_delay_few_requests_of_a_large_fleet():
    shares = [
        SilentEngineSimulation(
            seed=1,
            hosts=32,
            engines=35,
            silent_engines=9,
            requests_per_s=175,
            detection_s=2.0,
            report_period_s=report_period_s,
            sessions=245,
        ).simulate()
        for report_period_s in (0.0, 0.46)
    ]
    assert shares[1] <= MAX_WASTED_SHARE < shares[0]


def test_engine_reported_silent_by_two_hosts_is_silent_without_activity():
    fleet = Fleet(Catalog(), now_s=lambda: NOW_S)
    state = fleet.states["e1"] = make_state("e1")
    fleet.update_silent("h1", ["e1"])
    assert not state.considered_silent(NOW_S)
    fleet.update_silent("h2", ["e1"])
    assert state.considered_silent(NOW_S)
    assert not state.considered_silent(NOW_S + 3.0)
    state.prefill_reported_s = NOW_S - 0.5
    assert not state.considered_silent(NOW_S)
    fleet.update_silent("h2", [])
    state.prefill_reported_s = 0.0
    assert not state.considered_silent(NOW_S)


def test_silent_engine_is_tried_by_one_request_at_a_time():
    fleet = Fleet(Catalog())
    state = fleet.states["e1"] = make_state("e1")
    state.record_failure(NOW_S)
    later_s = state.suspect_until_s
    assert state.usable(later_s)
    fleet.begin(state, 0, 0)
    assert not state.usable(later_s)
    state.mark_responding()
    assert state.usable(later_s)


def test_engine_that_refuses_is_not_silent():
    fleet = Fleet(Catalog())
    state = fleet.states["e1"] = make_state("e1")
    state.record_failure(NOW_S, silent=False)
    assert not state.silent
    fleet.begin(state, 0, 0)
    assert state.usable(state.suspect_until_s)

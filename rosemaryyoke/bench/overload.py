"""Overload: goodput, and the tail of a small account beside large ones."""

from rosemaryyoke.bench.measure import Measure, bench
from rosemaryyoke.bench.simulate import Options, Served, Simulation, percentile
from rosemaryyoke.bench.workloads import WORKLOADS, Workload, make_requests

REQUESTS = 30_000
WARM_UP_SHARE = 1 / 3
SEED = 1
TTFT_S = 1.2
CALM_LOAD = 0.7
CAPACITY = {"cedarline": 3.5, "tonos": 5.0}
OVERLOAD = 2.0
GOODPUT_KEPT = 0.90
SMALL_TAIL = 1.5
SMALL_ACCOUNT = 7


def run_load(workload: Workload, load: float, count: int) -> list[Served]:
    """Return what became of requests at a load, with admission, in warm caches."""
    requests = make_requests(workload, count, load, SEED)
    served = Simulation(workload, Options(ttft_s=TTFT_S)).run(requests)
    return served[int(count * WARM_UP_SHARE) :]


def goodput(workload: Workload, served: list[Served], load: float) -> float:
    """Return the requests a second whose first token came in time."""
    good = sum(not item.refused and item.ttft_s <= TTFT_S for item in served)
    return good / len(served) * workload.rate(load)


def tail_of(served: list[Served], account: int) -> float:
    """Return the p99 of an account's time to first token."""
    times = [s.ttft_s for s in served if s.account == account and not s.refused]
    return percentile(sorted(times), 0.99)


def overload_measures(name: str, count: int = REQUESTS) -> list[Measure]:
    """Return goodput and the small account's tail at twice the capacity."""
    workload = WORKLOADS[name]
    capacity = CAPACITY[name]
    calm = run_load(workload, CALM_LOAD, count)
    full = run_load(workload, capacity, count)
    over = run_load(workload, OVERLOAD * capacity, count)
    kept = goodput(workload, over, OVERLOAD * capacity)
    wanted = GOODPUT_KEPT * goodput(workload, full, capacity)
    small = [item for item in over if item.account == SMALL_ACCOUNT]
    refused = sum(item.refused for item in small) / len(small)
    tail_bound_s = SMALL_TAIL * tail_of(calm, SMALL_ACCOUNT)
    tail_s = tail_of(over, SMALL_ACCOUNT)
    return [
        Measure(f"{name} goodput at twice capacity", kept, wanted, "requests/s", True),
        Measure(f"{name} small account's p99", tail_s * 1e3, tail_bound_s * 1e3, "ms"),
        Measure(f"{name} small account's refusals", refused, 0.01),
    ]


@bench.register("overload")
def bench_overload() -> list[Measure]:
    """Return the measures of both workloads."""
    return [m for name in sorted(WORKLOADS) for m in overload_measures(name)]

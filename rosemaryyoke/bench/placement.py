"""Placement policies on the pinned workloads, beside naive ones and a bound."""

from concurrent.futures import ProcessPoolExecutor

from attrs import frozen

from rosemaryyoke.bench.bound import bound_hit_rate
from rosemaryyoke.bench.measure import Measure, bench
from rosemaryyoke.bench.simulate import Options, Summary, run_workload
from rosemaryyoke.bench.workloads import WORKLOADS, make_requests
from rosemaryyoke.placement import policies

REQUESTS = 20_000
SEED = 1
LOADS = (0.7, 1.5, 2.5)
WORKERS = 6
OURS = "predicted-ttft"
FAULTY_LAG_S = 2.0
CRASH_AT_S = 60.0
HIT_OF_BOUND = 0.95
HIT_OVER_LEAST_LOAD = 1.5
COMPUTED_OVER_BOUND = 1.10
TAIL_OF_ROUND_ROBIN = 0.6
TAIL_OF_HASH = 0.8
FULL_PREFILL_S = 0.340


@frozen
class Case:
    """A workload, a load and the options of a run."""

    workload: str
    load: float
    label: str
    options: Options


def run_case(case: Case, count: int = REQUESTS) -> Summary:
    """Return the measures of a case."""
    workload = WORKLOADS[case.workload]
    requests = make_requests(workload, count, case.load, SEED)
    return run_workload(workload, requests, case.options)


def run_bound(name: str, load: float, count: int = REQUESTS) -> float:
    """Return the offline bound of the hit rate."""
    workload = WORKLOADS[name]
    return bound_hit_rate(workload, make_requests(workload, count, load, SEED))


def faulty(policy: str, imports: bool = False) -> Case:
    """Return the case of the tail targets: shifting prefixes, a crash, late reports."""
    options = Options(policy, 3, FAULTY_LAG_S, imports, crash_at_s=CRASH_AT_S)
    return Case("tonos", 1.5, f"{policy}, crash, late reports", options)


def plain(workload: str, policy: str, imports: bool = False, load: float = 1.5) -> Case:
    """Return a case without faults."""
    label = f"{policy} with imports" if imports else policy
    return Case(workload, load, label, Options(policy, imports=imports))


def table_cases() -> list[Case]:
    """Return the cases of the table."""
    cases = []
    for workload in WORKLOADS:
        for load in LOADS:
            cases += [plain(workload, name, False, load) for name in policies.names()]
            cases.append(plain(workload, OURS, True, load))
    return cases


def print_table(count: int = REQUESTS) -> None:
    """Print each policy on each workload and load."""
    cases = table_cases()
    print("workload   load  policy                        hit  import  again  p50  p99")
    with ProcessPoolExecutor(WORKERS) as pool:
        summaries = pool.map(run_case, cases, [count] * len(cases))
        for case, summary in zip(cases, summaries):
            print(
                f"{case.workload:10} {case.load:4}  {case.label:28}"
                f"{summary.hit_rate:5.3f}   {summary.import_rate:5.3f}  "
                f"{summary.recomputed:5.3f} {summary.p50_s * 1000:4.0f} "
                f"{summary.p99_s * 1000:6.0f}"
            )


def tail_measures(count: int = REQUESTS) -> list[Measure]:
    """Return the tail of time to first token on Tonos del Valle beside its bounds."""
    ours = run_case(faulty(OURS, imports=True), count)
    robin = run_case(faulty("round-robin"), count)
    hashed = run_case(faulty("consistent-hash"), count)
    bounds = (
        ("round robin", TAIL_OF_ROUND_ROBIN * robin.p99_s),
        ("consistent hashing", TAIL_OF_HASH * hashed.p99_s),
        ("a full prefill", FULL_PREFILL_S),
    )
    return [
        Measure(f"tonos p99 against {name}", ours.p99_s * 1000, bound * 1000, "ms")
        for name, bound in bounds
    ]


def reuse_measures(workload: str, count: int = REQUESTS) -> list[Measure]:
    """Return how much of prompts was reused, from caches or the kept-KV store."""
    ours = run_case(plain(workload, OURS, imports=True), count)
    bound = run_bound(workload, 1.5, count)
    least = run_case(plain(workload, "least-load"), count)
    reused = ours.hit_rate + ours.import_rate
    computed_bound = COMPUTED_OVER_BOUND * (1 - bound)
    over_least = HIT_OVER_LEAST_LOAD * least.hit_rate
    return [
        Measure(f"{workload} reused", reused, HIT_OF_BOUND * bound, least=True),
        Measure(f"{workload} reused, least load", reused, over_least, least=True),
        Measure(f"{workload} computed", 1 - reused, computed_bound),
        Measure(f"{workload} computed again", ours.recomputed, 0.10 * computed_bound),
    ]


def engine_hit_measures(workload: str, count: int = REQUESTS) -> list[Measure]:
    """Return the hit rate of the engines' own caches, with no kept-KV store."""
    ours = run_case(plain(workload, OURS), count)
    bound = run_bound(workload, 1.5, count)
    least = run_case(plain(workload, "least-load"), count)
    over_least = HIT_OVER_LEAST_LOAD * least.hit_rate
    return [
        Measure(f"{workload} hit", ours.hit_rate, HIT_OF_BOUND * bound, least=True),
        Measure(f"{workload} hit, least load", ours.hit_rate, over_least, least=True),
    ]


@bench.register("placement")
def bench_placement() -> list[Measure]:
    """Return all measures of placement, after the table."""
    print_table()
    measures = tail_measures()
    for workload in WORKLOADS:
        measures += reuse_measures(workload) + engine_hit_measures(workload)
    return measures

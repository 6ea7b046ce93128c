"""Slopes of a running host, each measured at three sizes."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

from attrs import frozen

from rosemaryyoke.bench.host import (
    ENGINE_TOKEN_MS,
    IDLE_TOKEN_MS,
    MEGABYTE,
    StreamCounter,
    processor_s,
    resident_bytes,
    run_stream,
)
from rosemaryyoke.bench.measure import Measure, bench
from rosemaryyoke.testing.builders import System

RATES = (12, 23, 46)
STREAM_COUNTS = (100, 300, 500)
ENGINE_COUNTS = (2, 6, 12)
CALLERS = (1, 6, 24)
WARM_UP_S = 8.0
WINDOW_S = 12.0
CLAIMS = 600
POLLS_PER_S = 2
IDLE_CORE_BOUND = 0.031
WRITES_BOUND = 2.0
FAST_PREFILL = ("--prefill-ms", "0.2", "--token-ms")


@frozen
class Cost:
    """What a host used at a size."""

    size: float
    value: float
    unit: str


def line(costs: list[Cost]) -> tuple[float, float]:
    """Return the value at nothing and the slope of a least-squares line."""
    mean_x = sum(cost.size for cost in costs) / len(costs)
    mean_y = sum(cost.value for cost in costs) / len(costs)
    spread = sum((cost.size - mean_x) ** 2 for cost in costs)
    slope = sum((c.size - mean_x) * (c.value - mean_y) for c in costs) / spread
    return mean_y - slope * mean_x, slope


def stream_cost(rate: int) -> Cost:
    """Return the cores that a host uses at a rate of requests, by tokens a second."""
    options = (*FAST_PREFILL, str(ENGINE_TOKEN_MS))
    with System(engines=6, services=0, hosts=1, engine_options=options) as system:
        pid = system.processes["host0"].popen.pid
        address = system.address("host0")
        counters: list[StreamCounter] = []
        began_s = time.perf_counter()
        marks = [(0.0, 0.0, 0)]
        number = 0
        while time.perf_counter() - began_s < WARM_UP_S + WINDOW_S:
            arguments = (address, number, counters)
            threading.Thread(target=run_stream, args=arguments, daemon=True).start()
            number += 1
            passed_s = time.perf_counter() - began_s
            if len(marks) == 1 and passed_s > WARM_UP_S:
                marks.append(mark(pid, counters))
            time.sleep(max(0.0, number / rate - passed_s))
        marks.append(mark(pid, counters))
    (_, _, _), (at_s, used_s, events), (end_s, end_used_s, end_events) = marks
    window_s = end_s - at_s
    tokens = (end_events - events) / window_s
    return Cost(tokens, (end_used_s - used_s) / window_s, "cores at tokens/s")


def mark(pid: int, counters: list[StreamCounter]) -> tuple[float, float, int]:
    """Return the time, the processor seconds of a host and the events so far."""
    events = sum(counter.events for counter in counters)
    return time.perf_counter(), processor_s(pid), events


def idle_stream_cost(count: int) -> Cost:
    """Return the resident size of a host with idle streams open."""
    options = ("--prefill-ms", "0", "--token-ms", str(IDLE_TOKEN_MS))
    with System(engines=1, services=0, hosts=1, engine_options=options) as system:
        address = system.address("host0")
        counters: list[StreamCounter] = []
        for number in range(count):
            arguments = (address, number, counters)
            threading.Thread(target=run_stream, args=arguments, daemon=True).start()
            time.sleep(0.005)
        time.sleep(4.0)
        pid = system.processes["host0"].popen.pid
        return Cost(count, resident_bytes(pid) / MEGABYTE, "MB at streams")


def idle_cost(engines: int) -> Cost:
    """Return the cores of a host without requests, by the upstreams it polls."""
    with System(engines=engines, services=0, hosts=1) as system:
        pid = system.processes["host0"].popen.pid
        time.sleep(2.0)
        used_s = processor_s(pid)
        time.sleep(WINDOW_S)
        cores = (processor_s(pid) - used_s) / WINDOW_S
        return Cost(engines, cores, "cores at polls/s")


def claim_cost(callers: int) -> Cost:
    """Return the platform's writes for each claimed call, by callers at once."""
    with System(engines=0, services=2, hosts=3) as system:
        names = system.host_names
        before = system.ask("platform", "/control/counts")["write"]

        def call(number: int) -> None:
            address = system.address(names[number % len(names)])
            key = f"claim-{number}"
            client = system.client()
            client.service_once(address, "POST", "records", "/issue", {}, key).unwrap()

        with ThreadPoolExecutor(callers) as pool:
            list(pool.map(call, range(CLAIMS)))
        time.sleep(1.0)
        writes = system.ask("platform", "/control/counts")["write"] - before
        return Cost(callers, writes / CLAIMS, "writes a claim at callers")


def measure(name: str, function, sizes: tuple[int, ...]) -> list[Cost]:
    """Return the costs at sizes, printed with their line."""
    costs = [function(size) for size in sizes]
    for cost in costs:
        print(f"{name}: {cost.value:.4f} {cost.unit} {cost.size:.0f}", flush=True)
    base, slope = line(costs)
    print(f"{name}: {base:.4f} + {slope:.7f} x", flush=True)
    return costs


@bench.register("slopes")
def bench_slopes() -> list[Measure]:
    """Return the slopes of streams, polling and claims."""
    measure("streams", stream_cost, RATES)
    measure("idle streams", idle_stream_cost, STREAM_COUNTS)
    base, slope = line(measure("polling", idle_cost, ENGINE_COUNTS))
    claims = measure("claims", claim_cost, CALLERS)
    return [
        Measure("a host at rest", base + slope * POLLS_PER_S, IDLE_CORE_BOUND, "cores"),
        Measure("writes a claim under load", claims[-1].value, WRITES_BOUND),
    ]

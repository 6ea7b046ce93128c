"""Cost of a host: processor time, added time to first token, memory of idle streams."""

import os
import threading
import time

import pycurl

from rosemaryyoke.bench.measure import Measure, bench
from rosemaryyoke.bench.simulate import percentile
from rosemaryyoke.testing.builders import System, api_key
from rosemaryyoke.wire import HttpRequest, json_request, stream

REQUEST_RATE = 46.0
TOKENS_PER_REQUEST = 226
ENGINE_TOKEN_MS = 26
LOAD_S = 30.0
WARM_UP_S = 8.0
PAIRS = 300
PREFIXES = 97
IDLE_STREAMS = 500
IDLE_TOKEN_MS = 3_000
CORE_BOUND = 1.0
MEDIAN_BOUND_MS = 3.0
P99_BOUND_MS = 15.0
IDLE_BOUND_MB = 100.0
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
MEGABYTE = 1024 * 1024
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def processor_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_bytes(pid: int) -> int:
    """Return the resident size of a process."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def chat_call(address: str, prompt: str, tokens: int) -> HttpRequest:
    """Return a streamed chat completion."""
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"Authorization": f"Bearer {api_key('cedar')}"}
    url = f"http://{address}/v1/chat/completions"
    return json_request(
        "POST", url, body, headers=headers, timeout_s=120.0, fresh_connection=True
    )


def direct_call(address: str, prompt: str, tokens: int) -> HttpRequest:
    """Return the same completion for the engine itself."""
    body = {
        "request": os.urandom(8).hex(),
        "cache_salt": "bench",
        "model": "m",
        "weights": "v1",
        "prompt": prompt,
        "max_tokens": tokens,
    }
    url = f"http://{address}/v1/completions"
    return json_request("POST", url, body, timeout_s=120.0, fresh_connection=True)


class StreamCounter:
    """Count the events of a stream and note when the first token came."""

    def __init__(self) -> None:
        self.began_s = time.perf_counter()
        self.first_s = 0.0
        self.events = 0

    def take(self, data: bytes) -> None:
        """Count the events of a part."""
        self.events += data.count(b"\n\n")
        if not self.first_s and (b"content" in data or b'"token"' in data):
            self.first_s = time.perf_counter() - self.began_s


def time_first_token(call: HttpRequest) -> float:
    """Return the seconds until the first token of a call."""
    counter = StreamCounter()
    stream(call, counter.take).unwrap()
    return counter.first_s


def measure_added_time() -> list[Measure]:
    """Return what a host adds to the time to first token, call by call."""
    options = ("--prefill-ms", "0", "--token-ms", "1")
    with System(engines=1, services=0, hosts=1, engine_options=options) as system:
        engine, host = system.address("engine0"), system.address("host0")
        added = []
        for number in range(PAIRS):
            prompt = f"pair {number} " * 60
            direct = time_first_token(direct_call(engine, prompt, 2))
            added.append(time_first_token(chat_call(host, prompt, 2)) - direct)
    added.sort()
    return [
        Measure(
            "added time to first token, median",
            percentile(added, 0.5) * 1000,
            MEDIAN_BOUND_MS,
            "ms",
        ),
        Measure(
            "added time to first token, p99",
            percentile(added, 0.99) * 1000,
            P99_BOUND_MS,
            "ms",
        ),
    ]


def run_stream(address: str, number: int, counters: list[StreamCounter]) -> None:
    """Read one stream to its end."""
    counter = StreamCounter()
    counters.append(counter)
    prompt = f"prefix {number % PREFIXES} " * 90 + f"tail {number}"
    stream(chat_call(address, prompt, TOKENS_PER_REQUEST), counter.take)


def measure_processor() -> list[Measure]:
    """Return the host's processor use under the planned load of a host, four times."""
    options = ("--prefill-ms", "0.2", "--token-ms", str(ENGINE_TOKEN_MS))
    with System(engines=6, services=0, hosts=1, engine_options=options) as system:
        pid = system.processes["host0"].popen.pid
        counters: list[StreamCounter] = []
        threads = []
        began_s = time.perf_counter()
        used_s = at_s = before = 0.0
        number = 0
        while time.perf_counter() - began_s < WARM_UP_S + LOAD_S:
            if not at_s and time.perf_counter() - began_s > WARM_UP_S:
                at_s, used_s = time.perf_counter(), processor_s(pid)
                before = sum(counter.events for counter in counters)
            arguments = (system.address("host0"), number, counters)
            thread = threading.Thread(target=run_stream, args=arguments)
            thread.start()
            threads.append(thread)
            number += 1
            due_s = began_s + number / REQUEST_RATE
            time.sleep(max(0.0, due_s - time.perf_counter()))
        passed_s = time.perf_counter() - at_s
        cores = (processor_s(pid) - used_s) / passed_s
        tokens = (sum(counter.events for counter in counters) - before) / passed_s
        for thread in threads:
            thread.join()
    print(f"{number} requests, {tokens:.0f} streamed tokens/s")
    return [Measure("processor of a host", cores, CORE_BOUND, "cores")]


def measure_idle_streams() -> list[Measure]:
    """Return the host's resident size with many idle streams open."""
    options = ("--prefill-ms", "0", "--token-ms", str(IDLE_TOKEN_MS))
    with System(engines=1, services=0, hosts=1, engine_options=options) as system:
        pid = system.processes["host0"].popen.pid
        before = resident_bytes(pid) / MEGABYTE
        counters: list[StreamCounter] = []
        for number in range(IDLE_STREAMS):
            arguments = (system.address("host0"), number, counters)
            threading.Thread(target=run_stream, args=arguments, daemon=True).start()
            time.sleep(0.005)
        time.sleep(6.0)
        after = resident_bytes(pid) / MEGABYTE
        begun = sum(counter.events > 0 for counter in counters)
    print(f"{begun} idle streams open; {before:.1f} MB with none")
    return [Measure("resident size with idle streams", after, IDLE_BOUND_MB, "MB")]


@bench.register("host")
def bench_host() -> list[Measure]:
    """Return all measures of a host."""
    pycurl.global_init(pycurl.GLOBAL_ALL)
    return [*measure_added_time(), *measure_idle_streams(), *measure_processor()]

"""An engine whose state report has no end takes no host's memory.

Pattern: an engine in trouble starts no answer, so that hosts ask it for its state, once
for each request that waits; it sends bytes until the connection is closed, or much and
then nothing.
"""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.servers import (
    EngineStandin,
    StoreStandin,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.test_hostile_clients import (
    MB,
    MEMORY_MB,
    ready,
    start_process,
)
from rosemaryyoke.testing.hostile_clients import peak_memory_bytes

pytestmark = pytest.mark.hostile_clients

CLIENTS = 48
DEADLINE_MS = "6000"
SLOTS = 400
PIECE = b"x" * 65_536
ENDLESS_BYTES = 256 * MB
HELD_BYTES = 7 * MB  # less than the limit of any body
STALL_S = 20.0
NETWORK = 3  # of addresses, see start_process
HEAD = b"HTTP/1.1 200 OK\r\n"


class FaultyEngine(EngineStandin):
    """An engine that answers no request, and whose reports have no end."""

    report_head = HEAD + b"\r\n"
    report_bytes = ENDLESS_BYTES
    reports = 0
    ended = False

    def answer(self, message, caller):
        """Send a report, or nothing."""
        if message.target == b"/report":
            self.reports += 1
            caller.socket.sendall(self.report_head)
            sent_bytes = 0
            while sent_bytes < self.report_bytes:
                sent_bytes += caller.socket.send(PIECE)
        until_s = time.monotonic() + STALL_S
        while time.monotonic() < until_s and not self.ended:
            time.sleep(0.05)
        raise OSError("no answer")


@pytest.fixture()
def deployment(tmp_path):
    """Return a host's process, a faulty engine and the address for callers."""
    store, faulty = StoreStandin(), FaultyEngine("e1")
    store.set("config", "main", make_configuration())
    store.set("servers", "e1", make_registration(str(faulty.address), slots=SLOTS))
    plain = EngineStandin("p1")
    store.set("servers", "p1", make_registration(str(plain.address), "records"))
    for host in ready(start_process(store, tmp_path, NETWORK)):
        yield host, faulty
    faulty.ended = True
    for part in (store, faulty, plain):
        part.stop()


# Guards against a report for each waiting request, each of which holds much memory.
@pytest.mark.parametrize("report_bytes", (ENDLESS_BYTES, HELD_BYTES))
@pytest.mark.parametrize("head", (HEAD + b"\r\n", HEAD), ids=("body", "head"))
def test_reports_without_end_hold_little_memory(deployment, head, report_bytes):
    host, faulty = deployment
    faulty.report_head, faulty.report_bytes = head, report_bytes

    def stream(number):
        parts = f"a{number}:600,b{number}:900,c{number}:100"
        options = {"Request-Id": f"r{number}", "Deadline-Ms": DEADLINE_MS}
        return send_client_request(
            host.callers, headers=stream_headers(parts), **options
        )

    with ThreadPoolExecutor(CLIENTS) as pool:
        waiting = [pool.submit(stream, number) for number in range(CLIENTS)]
        for item in waiting:
            item.result()
    peak_bytes = peak_memory_bytes(host.process.pid)
    print(f"{faulty.reports} reports, peak {peak_bytes / MB:.0f} MB")
    assert faulty.reports and host.process.poll() is None
    assert peak_bytes < MEMORY_MB * MB
    answer = send_client_request(host.callers, "/read/1", "GET").responses[0]
    assert answer.status == 200

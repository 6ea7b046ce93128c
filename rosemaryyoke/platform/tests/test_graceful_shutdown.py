"""Requests that come to a host while it shuts down."""

import threading
import time
from types import SimpleNamespace

from attrs import evolve

from rosemaryyoke.exchanges import host as hosts
from rosemaryyoke.exchanges.host import ACCEPT_LONG_REQUESTS_S
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.servers import (
    send_client_request,
    stream_headers,
)

SOON_S = 0.15
LONG, SHORT = {"Deadline-Ms": "15000"}, {"Deadline-Ms": "1000"}


def begin_shutdown(host):
    """Let a host shut down as after SIGTERM, and return when that began."""
    threading.Thread(target=host.shut_down, daemon=True).start()
    return time.monotonic()


def send_stream(deployment, **headers):
    """Send a request for a stream and return its response."""
    return send_client_request(
        deployment.callers, headers=stream_headers(), **headers
    ).responses[0]


# Guards against streams that a host takes near the end of its grace period, and cuts.
def test_request_that_may_outlast_the_host_is_rejected_at_once(deployment):
    for engine in deployment.engines:
        engine.script = []
    route = deployment.host.catalog.configuration.find_route("a.example", "/chat/1")
    object.__setattr__(route, "timeout_s", 15.0)
    deployment.host.settings = evolve(deployment.host.settings, grace_s=8.0)
    started_s = begin_shutdown(deployment.host)
    time.sleep(0.5)
    assert send_stream(deployment, **LONG).status == 200
    time.sleep(started_s + ACCEPT_LONG_REQUESTS_S + SOON_S - time.monotonic())
    sent_s = time.monotonic()
    answer = send_stream(deployment, **LONG)
    assert time.monotonic() - sent_s < SOON_S
    assert answer.status == 503
    assert float(find_header(answer.headers, b"retry-after")) < SOON_S
    assert send_stream(deployment, **SHORT).status == 200
    read = send_client_request(deployment.callers, "/read/1", "GET").responses[0]
    assert read.status == 200


# Guards against requests that are taken while the thread that stops the host is late.
def test_limits_of_a_stop_hold_though_its_thread_is_late(deployment, monkeypatch):
    route = deployment.host.catalog.configuration.find_route("a.example", "/read/1")
    object.__setattr__(route, "timeout_s", 15.0)
    late = threading.Event()
    clock = SimpleNamespace(monotonic=time.monotonic, sleep=lambda _: late.wait(10))
    monkeypatch.setattr(hosts, "time", clock)
    started_s = begin_shutdown(deployment.host)
    time.sleep(started_s + deployment.host.settings.grace_s - time.monotonic())
    for changes in (LONG, SHORT):
        answer = send_client_request(deployment.callers, "/read/1", "GET", **changes)
        assert answer.responses[0].status == 503
    late.set()
    assert not any(plain.received for plain in deployment.records)

"""Hosts that reach no upstream, while callers, the store and other hosts reach them."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from rosemaryyoke.platform.standins.servers import send_client_request, stream_headers
from rosemaryyoke.platform.tests.cut_hosts import (
    HANGING,
    KINDS,
    PATHS,
    REFUSING,
    RESETTING,
    SAFE,
    STREAMING,
    UNSAFE,
    CutFleet,
)
from rosemaryyoke.platform.tests.deployment import script_all, wait_for

REQUESTS = 12
SERVED_SHARE = 2 / 3  # of what other hosts serve, which is all
REJECTED_WITHIN_S = 0.1
RECOVERED_WITHIN_S = 1.5


@pytest.fixture()
def fleet(request):
    fleet = CutFleet()
    fleet.start(getattr(request, "param", 3))
    yield fleet
    fleet.stop()


def notice_cut(fleet, *hosts):
    """Let hosts find out, by requests of each kind, that they reach no upstream."""
    for host in hosts:
        for kind in KINDS:
            fleet.send_many(host, kind, 4)


@pytest.mark.parametrize("mode", (HANGING, RESETTING))
def test_first_tries_at_a_cut_host_are_served(fleet, mode):
    # Guards against callers of a host that lost its upstreams being turned away.
    fleet.cut(0, mode=mode)
    notice_cut(fleet, 0)
    for kind in KINDS:
        assert fleet.served(0, kind, REQUESTS) >= SERVED_SHARE * REQUESTS, kind
        assert fleet.served(1, kind, REQUESTS) == REQUESTS, kind


@pytest.mark.parametrize("fleet", (4,), indirect=True)
def test_first_tries_are_served_when_most_hosts_are_cut(fleet):
    # Guards against most hosts turning callers away while one reaches all upstreams.
    fleet.cut(0, 1, 2)
    notice_cut(fleet, 0, 1, 2)
    for host in range(4):
        for kind in KINDS:
            served = fleet.served(host, kind, REQUESTS)
            assert served >= SERVED_SHARE * REQUESTS, (host, kind)


def test_first_request_of_each_kind_is_served_within_its_time(fleet):
    # Guards against a host with little traffic that learns of the cut too late.
    fleet.cut(0)
    for kind in KINDS:
        status, duration_s = fleet.send(0, kind)
        assert status == 200 and duration_s < 1.0, kind


def test_cut_from_one_service_only(fleet):
    # Guards against a cut that spares some services passing for none.
    fleet.cut(0, services=("records",))
    notice_cut(fleet, 0)
    for kind in KINDS:
        assert fleet.served(0, kind, REQUESTS) >= SERVED_SHARE * REQUESTS, kind


def test_requests_are_rejected_at_once_when_all_hosts_are_cut(fleet):
    # Guards against callers waiting for connects that are known to fail.
    fleet.cut(0, 1, 2)
    notice_cut(fleet, 0, 1, 2)
    for kind in KINDS:
        for status, duration_s in fleet.send_many(0, kind, REQUESTS):
            assert status == 503 and duration_s < REJECTED_WITHIN_S, kind
    assert not fleet.runs()


def test_hosts_serve_again_after_the_cut(fleet):
    # Guards against hosts that stay out of use once their upstreams are back.
    fleet.cut(0, 1, 2)
    notice_cut(fleet, 0, 1, 2)
    fleet.heal()
    for host in range(3):
        wait_for(lambda: fleet.send(host, SAFE)[0] == 200, RECOVERED_WITHIN_S)
        wait_for(lambda: fleet.send(host, STREAMING)[0] == 200, RECOVERED_WITHIN_S)
        assert fleet.served(host, UNSAFE, REQUESTS) == REQUESTS


def test_lookups_name_hosts_that_reach_upstreams(fleet):
    # Guards against callers being sent to hosts that reach no upstream.
    fleet.cut(0)
    notice_cut(fleet, 0)
    for host in range(3):
        wait_for(lambda: fleet.callers(0) not in fleet.lookup(host))
        assert fleet.lookup(host) == {fleet.callers(1), fleet.callers(2)}
    fleet.heal()
    for host in range(3):
        wait_for(lambda: fleet.callers(0) in fleet.lookup(host))


def test_lookups_name_all_hosts_when_all_are_cut(fleet):
    fleet.cut(0, 1, 2)
    notice_cut(fleet, 0, 1, 2)
    for host in range(3):
        wait_for(lambda: len(fleet.lookup(host)) == 3)


def test_open_connections_serve_while_new_ones_are_refused(fleet):
    for kind in KINDS:
        fleet.send_many(0, kind, 8)
    fleet.cut(0, mode=REFUSING)
    for kind in KINDS:
        assert fleet.served(0, kind, REQUESTS) == REQUESTS, kind


@pytest.mark.parametrize("kind", (STREAMING, SAFE))
def test_requests_that_a_cut_breaks_off_are_not_banned(fleet, kind):
    # Guards against a partition that looks like requests which crash upstreams.
    def hold(engine, message, caller):
        time.sleep(0.3)
        engine.run(message, caller)

    script_all((*fleet.engines, *fleet.records), *[hold] * 60)
    headers = stream_headers() if kind == STREAMING else []

    def send(host):
        answer = send_client_request(
            fleet.hosts[host].settings.callers,
            PATHS[kind],
            "GET" if kind == SAFE else "POST",
            headers=headers,
            **{"Request-Id": f"q{next(fleet.numbers)}"},
        ).responses
        return answer[0].status if answer else 0

    with ThreadPoolExecutor(8) as clients:
        for _ in range(3):
            running = [clients.submit(send, 0) for _ in range(6)]
            time.sleep(0.15)
            fleet.cut(0, mode=RESETTING)
            for item in running:
                item.result()
            fleet.heal()
            wait_for(lambda: not fleet.hosts[0].reachability.unreachable)
    time.sleep(1.5)  # longer than it takes to ban
    assert not any(host.fleet.quarantine.bans for host in fleet.hosts)
    assert [send(number % 3) for number in range(6)] == [200] * 6

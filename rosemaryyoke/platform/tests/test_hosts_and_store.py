"""Tests of routing hosts that follow the store, or other hosts when it fails."""

import time

import orjson

from rosemaryyoke.hosts.watchers import WATCHERS
from rosemaryyoke.http1 import send_request
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.servers import (
    StoreStandin,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.deployment import start_host, wait_for


def test_unknown_key_is_not_refused_for_good_without_the_store(deployment):
    deployment.store.down = True
    wait_for(lambda: not deployment.host.catalog.is_fresh())
    unknown = {"Authorization": "Bearer nobody"}
    answer = send_client_request(deployment.callers, **unknown).responses[0]
    assert answer.status == 503


def test_request_without_a_configuration_may_come_back():
    store = StoreStandin()
    host = start_host(store)
    try:
        assert send_client_request(host.settings.callers).responses[0].status == 503
        reply = send_request(host.settings.readiness, "GET", "/readiness").unwrap()
        assert reply.status == 503
    finally:
        host.kernel.stop()
        store.stop()


def test_configuration_changes_and_never_goes_back(deployment):
    newer = make_configuration(9)
    newer["routes"][0]["pathPrefix"] = "/moved/"
    deployment.store.set("config", "main", newer)
    wait_for(lambda: deployment.host.catalog.configuration.version == 9)
    deployment.store.set("config", "main", make_configuration(8))
    time.sleep(0.2)
    assert send_client_request(deployment.callers, "/chat/1").responses[0].status == 404
    moved = send_client_request(
        deployment.callers, "/moved/1", headers=stream_headers()
    )
    assert moved.responses[0].status == 200


def test_malformed_configuration_leaves_the_last_good_one(deployment):
    deployment.store.set("config", "main", {"version": 10})
    deployment.store.set("servers", "broken", {"service": 7})
    time.sleep(0.2)
    assert deployment.host.catalog.configuration.version == 1
    assert deployment.stream().responses[0].complete


def test_history_that_is_gone_leads_to_a_new_listing(deployment):
    deployment.store.set("versions", "m1", {"model": "m1", "version": 3})
    deployment.store.forget_history()
    deployment.store.set("config", "main", make_configuration(4))
    wait_for(lambda: deployment.host.catalog.configuration.version == 4)


def test_store_that_fails_and_returns_is_followed_again(deployment):
    deployment.store.down = True
    wait_for(lambda: not deployment.host.catalog.is_fresh())
    assert deployment.stream().responses[0].complete
    deployment.store.down = False
    deployment.store.set("config", "main", make_configuration(5))
    wait_for(lambda: deployment.host.catalog.configuration.version == 5)
    wait_for(deployment.host.catalog.is_fresh)


def test_store_that_comes_back_from_a_copy_is_followed_again(deployment):
    store, catalog = deployment.store, deployment.host.catalog
    time.sleep(0.2)
    copied_s = store.now_s()
    store.set("config", "main", make_configuration(5))
    wait_for(lambda: catalog.configuration.version == 5)
    store.down = True
    wait_for(lambda: not catalog.is_fresh())
    store.restore(store.now_s() - copied_s)
    store.down = False
    wait_for(lambda: catalog.upstreams_era == catalog.eras.current == store.era)
    wait_for(catalog.is_fresh)
    assert store.objects["config"]["main"]["spec"]["version"] == 1
    assert catalog.configuration.version == 5
    assert deployment.stream().responses[0].complete
    store.set("config", "main", make_configuration(7))
    wait_for(lambda: catalog.configuration.version == 7)


def test_lookup_names_live_hosts_and_leaves_out_one_that_stops(deployment):
    other = start_host(deployment.store, [deployment.host.settings.peers])
    try:
        directory = deployment.host.settings.directory
        target = "/lookup?name=a.example&region=r1&zone=z1"

        def addresses():
            reply = send_request(directory, "GET", target).unwrap()
            return set(orjson.loads(reply.body)["addresses"])

        both = {str(deployment.callers), str(other.settings.callers)}
        wait_for(lambda: addresses() == both)
        other.leaving = True
        other.beacons.send_now()
        wait_for(lambda: addresses() == {str(deployment.callers)})
        reply = send_request(other.settings.readiness, "GET", "/readiness").unwrap()
        assert reply.status == 503
    finally:
        other.kernel.stop()


def test_host_that_starts_without_the_store_learns_from_another(deployment):
    closed = StoreStandin()
    closed.down = True
    other = start_host(closed, [deployment.host.settings.peers])
    try:
        wait_for(other.is_ready)
        answer = send_client_request(other.settings.callers, headers=stream_headers())
        assert answer.responses[0].complete
        unknown = {"Authorization": "Bearer nobody"}
        assert (
            send_client_request(other.settings.callers, **unknown).responses[0].status
            == 401
        )
    finally:
        other.kernel.stop()
        closed.stop()


def test_hosts_beyond_the_watchers_hear_of_upstreams_from_one(deployment):
    seeds = [deployment.host.settings.peers]
    others = [start_host(deployment.store, seeds) for _ in range(WATCHERS + 1)]
    hosts = [deployment.host, *others]
    try:
        wait_for(
            lambda: all(
                len(host.table.live_peers(time.monotonic())) == len(others)
                for host in hosts
            )
        )
        wait_for(lambda: sum(bool(host.relay.generation) for host in hosts) == 2, 8.0)
        first = deployment.engines[0]
        entry = make_registration(str(first.address), state="draining")
        deployment.store.set("servers", first.name, entry)
        wait_for(
            lambda: all(host.catalog.upstreams[first.name].draining for host in hosts),
            2.0,
        )
        deployment.store.down = True
        wait_for(lambda: not any(host.catalog.is_fresh() for host in hosts), 5.0)
        deployment.store.down = False
        wait_for(lambda: all(host.catalog.is_fresh() for host in hosts), 8.0)
    finally:
        for host in others:
            host.kernel.stop()

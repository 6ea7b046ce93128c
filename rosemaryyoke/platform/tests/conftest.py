"""Fixtures for the tests of the platform adapter."""

import logging
import time

import pytest

from rosemaryyoke.catalog import catalog as catalogs, follower as followers
from rosemaryyoke.core.logs import LogWriter
from rosemaryyoke.objects import leases
from rosemaryyoke.platform.standins.documents import (
    make_configuration,
    make_registration,
)
from rosemaryyoke.platform.standins.servers import (
    EngineStandin,
    StoreStandin,
)
from rosemaryyoke.platform.tests.deployment import Deployment, start_host, wait_for
from rosemaryyoke.platform.tests.restores import Clock, ModelHost, make_model
from rosemaryyoke.timeline.log_reader import read_logs, select_request


@pytest.fixture()
def deployment():
    store = StoreStandin()
    engines = [EngineStandin(f"e{number}") for number in (1, 2)]
    records = [EngineStandin(f"p{number}") for number in (1, 2)]
    store.set("config", "main", make_configuration())
    for engine in engines:
        store.set("servers", engine.name, make_registration(str(engine.address)))
    for plain in records:
        entry = make_registration(str(plain.address), "records")
        store.set("servers", plain.name, entry)
    host = start_host(store)
    wait_for(host.is_ready)
    yield Deployment(store, engines, records, host)
    host.kernel.stop()
    for part in (store, *engines, *records):
        part.stop()


@pytest.fixture()
def logged(tmp_path):
    """Return a function that reads the log events of a request from this process."""
    path = tmp_path / "host.log"
    with path.open("w") as stream:
        writer = LogWriter("h1", stream)
        root = logging.getLogger()
        level = root.level
        root.addHandler(writer.handler)
        root.setLevel(logging.INFO)
        logging.getLogger("absl").setLevel(logging.INFO)
        writer.start()

        def follow(request):
            writer.drain(1.0)
            time.sleep(0.05)
            return select_request(read_logs([path]), request)

        yield follow
        root.removeHandler(writer.handler)
        root.setLevel(level)


@pytest.fixture()
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(catalogs, "time", clock)
    monkeypatch.setattr(followers, "time", clock)
    monkeypatch.setattr(leases, "now_s", clock)
    return clock


@pytest.fixture()
def model(clock):
    return make_model(clock)


@pytest.fixture()
def host(model, clock):
    host = ModelHost(model, clock)
    host.poll()
    assert host.upstreams == {"e1", "e2"}
    return host

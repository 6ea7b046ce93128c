"""Software versions in the store, for hosts that start after the end of all others."""

import pytest
from attrs import define, field

from rosemaryyoke.catalog import Upstream
from rosemaryyoke.hosts import HostTable
from rosemaryyoke.hosts.tests.builders import ListedStore
from rosemaryyoke.hosts.tests.test_table import OWN
from rosemaryyoke.hosts.version_register import (
    OBJECT_PREFIX,
    RETRY_S,
    VersionRegister,
    decode_version,
    encode_version,
    object_name,
)
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects.eras import EraRecord
from rosemaryyoke.objects.objects import StoredObject
from rosemaryyoke.origins import ServedVersions
from rosemaryyoke.origins.memory import RETENTION_S

SERVICES = ("llm",)


@define(eq=False)
class Host:
    """A host that is a watcher, with its register and a clock that tests move."""

    store: ListedStore
    at_s: float = 1_000.0
    eras: EraRecord = field(factory=EraRecord)
    served: ServedVersions = field(init=False)
    register: VersionRegister = field(init=False)

    def __attrs_post_init__(self):
        self.served = ServedVersions(lambda: self.at_s)
        roles = WatcherRoles("h1", "z1", HostTable(OWN, "h1", "z1"))
        self.register = VersionRegister(
            self.store, self.store, roles, self.served, self.eras
        )

    def see(self, *versions):
        """Know upstreams of some versions, and let the register act."""
        address = Address("127.0.0.1", 1)
        self.served.update(
            Upstream(name, "llm", address, "z1", 4, software=name) for name in versions
        )
        self.tick()

    def tick(self):
        """Let the register act although its last attempt failed."""
        for _ in range(2):
            self.register.next_attempt_s = 0.0
            self.register.tick()


@pytest.fixture()
def store():
    return ListedStore(OBJECT_PREFIX)


def test_host_that_starts_alone_knows_a_version_that_has_left(store):
    # Guards against a version that is gone with the hosts that saw it.
    Host(store).see("v1", "v2")
    host = Host(store)
    host.see("v2")
    assert host.served.knows_history()
    assert host.served.find_sole(SERVICES) is None
    assert host.served.find_earlier(SERVICES) is None


def test_host_that_starts_alone_knows_a_version_that_was_replaced(store):
    Host(store).see("v1")
    host = Host(store)
    host.see("v2")
    assert host.served.is_mixed(SERVICES)
    assert host.served.find_earlier(SERVICES) is None


def test_only_version_is_known_as_such_after_a_start(store):
    Host(store).see("v1")
    host = Host(store)
    host.see("v1")
    assert host.served.knows_history() and host.served.find_sole(SERVICES) == "v1"


def test_past_that_is_read_late_makes_no_version_earlier(store):
    Host(store).see("v1", "v2")
    host = Host(store)
    store.down = True
    host.see("v1")
    assert not host.served.knows_history()
    host.at_s += 5.0
    store.down = False
    host.tick()
    assert host.served.is_mixed(SERVICES)
    assert host.served.find_earlier(SERVICES) is None


def test_version_is_forgotten_once_its_streams_are(store):
    host = Host(store)
    host.see("v1", "v2")
    host.see("v2")
    host.at_s += RETENTION_S - 1.0
    host.see("v2")
    assert len(store.objects) == 2
    host.at_s += 2.0
    host.see("v2")
    assert set(store.objects) == {object_name(("llm", "v2"))}
    assert Host(store).register.load()


def test_unchanged_versions_cause_no_calls(store):
    host = Host(store)
    host.see("v1", "v2")
    calls = store.calls
    for _ in range(10):
        host.see("v1", "v2")
    assert store.calls == calls == 3  # a listing and a write for each version


def test_second_watcher_finds_versions_written(store):
    first, second = Host(store), Host(store)
    for host in (first, second):
        host.register.tick()
    first.see("v1")
    second.see("v1")
    assert len(store.objects) == 1 and second.register.stored == {("llm", "v1")}


def test_versions_that_a_restored_store_has_lost_are_written_again(store):
    host = Host(store)
    host.see("v1", "v2")
    store.objects.clear()
    host.eras.learn(1, "test")
    host.tick()
    assert len(store.objects) == 2


def test_host_that_is_no_watcher_reads_once_and_writes_nothing(store):
    host = Host(store)
    host.register.roles = type("Roles", (), {"is_watcher": lambda *_: False})()
    host.see("v1")
    host.eras.learn(1, "test")
    host.tick()
    assert not store.objects and store.calls == 1 and host.served.knows_history()


def test_past_is_read_at_once_for_a_caller_that_waits(store):
    # Guards against streams that are rejected until the next periodic read.
    Host(store).see("v1")
    host = Host(store)
    host.register.ensure_read()
    assert host.served.knows_history() and host.served.is_mixed(("llm",)) is False
    calls = store.calls
    host.register.ensure_read()
    assert store.calls == calls


def test_failed_read_is_repeated_after_a_pause(store):
    host = Host(store)
    store.down = True
    host.register.tick()
    host.register.tick()
    assert store.calls == 1 and host.register.next_attempt_s > RETRY_S


@pytest.mark.parametrize("body", (b"", b"[]", b"{}", b'{"service":1,"software":"a"}'))
def test_malformed_version_is_ignored(store, body):
    name = object_name(("llm", "v1"))
    store.objects[name] = StoredObject(name, 1, body)
    host = Host(store)
    host.tick()
    assert host.served.knows_history()


def test_version_round_trip():
    assert decode_version(encode_version(("a", "b"))) == ("a", "b")

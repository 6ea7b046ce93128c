"""Bans in the store, for hosts that start while no other host remembers them."""

import pytest
from attrs import define, field

from rosemaryyoke.hosts import HostTable
from rosemaryyoke.hosts.ban_register import (
    OBJECT_PREFIX,
    RETRY_S,
    BanRegister,
    decode_ban,
    encode_ban,
    object_name,
)
from rosemaryyoke.hosts.tests.builders import ListedStore
from rosemaryyoke.hosts.tests.test_table import OWN
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.objects.eras import EraRecord
from rosemaryyoke.quarantine import Ban, Quarantine

KEYS = frozenset({7, 2**64 - 1})


@define(eq=False)
class Host:
    """A host that is a watcher, with its register."""

    store: ListedStore
    eras: EraRecord = field(factory=EraRecord)
    quarantine: Quarantine = field(factory=Quarantine)
    register: BanRegister = field(init=False)

    def __attrs_post_init__(self):
        roles = WatcherRoles("h1", "z1", HostTable(OWN, "h1", "z1"))
        self.register = BanRegister(
            self.store, self.store, roles, self.quarantine, self.eras
        )

    def tick(self, count=2):
        """Let the register act although its last attempt failed."""
        for _ in range(count):
            self.register.next_attempt_s = 0.0
            self.register.tick()

    def ban(self, level=0):
        """Let the host learn of a ban."""
        began_s = self.quarantine.now_s()
        self.quarantine.receive("h2", (), [Ban(KEYS, began_s, level)])


@pytest.fixture()
def store():
    return ListedStore(OBJECT_PREFIX)


# Guards against engines that crash again on a known part when all hosts were killed.
def test_host_that_starts_alone_reads_the_bans(store):
    first = Host(store)
    first.tick()
    first.ban(level=1)
    first.tick()
    second = Host(store)
    assert second.quarantine.find_ban(KEYS) is None
    second.tick()
    assert second.quarantine.find_ban(KEYS).level == 1


def test_unchanged_bans_cause_no_calls(store):
    host = Host(store)
    host.ban()
    host.tick()
    calls = store.calls
    host.tick(10)
    assert store.calls == calls


def test_renewed_ban_is_written_and_ended_ban_removed(store):
    host, other = Host(store), Host(store)
    host.ban()
    other.ban()
    host.tick()
    other.tick()
    host.ban(level=2)
    host.tick()
    (stored,) = store.objects.values()
    assert decode_ban(stored.body, 0.0).level == 2
    host.quarantine.bans.clear()
    host.tick()
    assert not store.objects
    other.quarantine.bans.clear()
    other.tick()
    assert not other.register.stored


def test_bans_are_written_when_the_store_is_back(store):
    host = Host(store)
    store.down = True
    host.ban()
    host.tick()
    assert host.register.next_attempt_s > host.quarantine.now_s() + RETRY_S / 2
    store.down = False
    host.tick()
    assert list(store.objects) == [object_name(KEYS)]


def test_bans_that_a_restored_store_has_lost_are_written_again(store):
    host = Host(store)
    host.ban()
    host.tick()
    store.objects.clear()
    host.eras.learn(1, "store")
    host.tick()
    assert list(store.objects) == [object_name(KEYS)]


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"keys": [], "level": 0}',
        b'{"keys": ["x"], "level": 0}',
        b'{"keys": [7], "level": 0}',
        b'{"keys": ["7"], "level": 256}',
        b'{"keys": ["7"], "level": null}',
        b'{"keys": ["10000000000000000"], "level": 0}',
        b'{"keys": "ab", "level": -1}',
    ],
)
def test_malformed_ban_is_ignored(store, body):
    with pytest.raises(ValueError):
        decode_ban(body, 0.0)
    store.put(object_name(KEYS), body, 0)
    host = Host(store)
    host.tick()
    assert host.register.stored == {} and not host.quarantine.bans


def test_ban_round_trip():
    ban = decode_ban(encode_ban(Ban(KEYS, 1.0, 3)), 5.0)
    assert (ban.keys, ban.level, ban.began_s) == (KEYS, 3, 5.0)

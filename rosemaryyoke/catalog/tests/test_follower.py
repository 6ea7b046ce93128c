"""Followers recover from store errors, outages and malformed entries."""

import math
import threading
import time

import pytest
from attrs import define, field
from result import Err, Ok

from rosemaryyoke.catalog import (
    Catalog,
    Follower,
    Upstream,
    WantedWeights,
    catalog as catalogs,
    follower as followers,
)
from rosemaryyoke.catalog.catalog import CONFIRMATION_TTL_S
from rosemaryyoke.catalog.follower import SETTLING_S, KindFollower
from rosemaryyoke.catalog.model import Configuration
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects.feed import FeedChange, FeedChanges, FeedError, Listing
from rosemaryyoke.objects.objects import StoredObject
from rosemaryyoke.testing.clocks import ManualClock


@define
class ScriptedFeed:
    """Returns one scripted result per call, then errors."""

    results: list = field(factory=list)
    calls: list = field(factory=list)

    def list(self, kind):
        """Return the next result."""
        self.calls.append("list")
        return self._next()

    def watch(self, kind, position, wait_s):
        """Return the next result."""
        self.calls.append(f"watch {position}")
        return self._next()

    def _next(self):
        return (
            self.results.pop(0)
            if self.results
            else Err(FeedError("no scripted result left"))
        )


class Source:
    """Decodes upstreams from objects whose body is the state."""

    configuration_kind = "configuration"
    upstreams_kind = "upstreams"
    weights_kind = "weights"

    def __init__(self, feed):
        self.feed = feed

    def decode_wanted(self, stored):
        """Return the version that the body has."""
        return Ok(WantedWeights(stored.name, int(stored.body)))

    def decode_upstream(self, stored):
        """Return an upstream, or an error for the body ``bad``."""
        if stored.body == b"bad":
            return Err("bad")
        address = Address("127.0.0.1", 1)
        draining = stored.body == b"draining"
        return Ok(Upstream(stored.name, "s", address, "z", 1, draining))


def make_loaded_catalog():
    """Return a catalog of a host that does not read the store itself."""
    catalog = Catalog(unread_kinds={"upstreams"})
    catalog.update_configuration(Configuration(1, (), {}), b"")
    catalog.replace_upstreams({})
    return catalog


def make_object(name, body=b"ready"):
    return StoredObject(name, 1, body)


def make_follower(*results):
    feed = ScriptedFeed(list(results))
    catalog = Catalog()
    follower = Follower(Source(feed), catalog)
    return follower, follower.upstream_follower, catalog, feed


def removal(name):
    return Ok(FeedChanges(9, [FeedChange(make_object(name), removed=True)]))


def test_follower_survives_callback_error():
    calls = threading.Event()

    def fail(listing):
        if calls.is_set():
            return
        calls.set()
        raise RuntimeError("listing callback failed")

    feed = ScriptedFeed([Ok(Listing(1)), Ok(Listing(2)), Ok(FeedChanges(3))])
    task = KindFollower(feed, "kind", 0.0, 0.0, fail, lambda changes: None)
    thread = threading.Thread(target=task.run, daemon=True)
    thread.start()
    until_s = time.monotonic() + 3.0
    while task.position != 3 and time.monotonic() < until_s:
        time.sleep(0.01)
    task.stopping.set()
    assert task.position == 3


def test_follower_relists_when_history_is_gone():
    gone = Err(FeedError("gone", history_gone=True))
    listing = Ok(Listing(7, [make_object("u1")]))
    _, task, catalog, feed = make_follower(Ok(Listing(3)), gone, listing)
    for _ in range(3):
        task.step()
    assert feed.calls == ["list", "watch 3", "list"]
    assert set(catalog.upstreams) == {"u1"} and task.position == 7


def test_follower_skips_malformed_entry():
    objects = [make_object("u1"), make_object("u2", b"bad")]
    _, task, catalog, _ = make_follower(Ok(Listing(1, objects)))
    task.step()
    assert set(catalog.upstreams) == {"u1"}


def test_follower_keeps_expired_upstreams_in_grace_period(monkeypatch):
    follower, task, catalog, _ = make_follower(
        Ok(Listing(1, [make_object("u1"), make_object("u2")])),
        removal("u1"),
    )
    task.step()
    follower.handle_store_success(outage_s=5.0)
    task.step()
    assert set(catalog.upstreams) == {"u1", "u2"}
    follower.remove_expired()
    assert set(catalog.upstreams) == {"u1", "u2"}
    follower.grace_until_s = 0.0
    follower.remove_expired()
    assert set(catalog.upstreams) == {"u2"}


def test_follower_removes_upstream_without_outage():
    _, task, catalog, _ = make_follower(
        Ok(Listing(1, [make_object("u1")])), removal("u1")
    )
    task.step()
    task.step()
    assert catalog.upstreams == {}


def test_catalog_ignores_older_weights_version():
    catalog = Catalog()
    catalog.update_wanted(WantedWeights("m", 3), age_s=10.0)
    catalog.update_wanted(WantedWeights("m", 2))
    now_s = time.monotonic()
    assert catalog.wanted == {"m": 3}
    assert 9.9 < catalog.outdated_s("m", 2, now_s) < 10.5
    assert catalog.outdated_s("m", 3, now_s) == 0.0


def test_orphaned_follower_spares_store_in_outage():
    feed = ScriptedFeed()
    answers = [True]
    task = KindFollower(feed, "kind", 0.0, 0.0, print, print)
    task.poll_peer = lambda: bool(answers and answers.pop())
    task.is_orphan = lambda: True
    threading.Thread(target=task.run, daemon=True).start()
    time.sleep(0.3)
    assert feed.calls == []
    time.sleep(2.0)
    task.stopping.set()
    assert 1 <= len(feed.calls) <= 2


def test_other_kinds_are_read_only_while_upstreams_are():
    follower, upstreams, catalog, feed = make_follower(Ok(Listing(1)))
    configuration = follower.followers[1]
    assert not configuration.is_due(time.monotonic())
    upstreams.step()
    assert configuration.is_due(time.monotonic())
    configuration.position = 1
    assert not configuration.is_due(time.monotonic())
    follower.reading_since_s -= SETTLING_S
    assert configuration.is_due(time.monotonic())
    upstreams._record_failure(FeedError("down"))
    assert not any(item.is_due(time.monotonic()) for item in follower.followers[1:])
    assert catalog.unread_kinds == {"configuration", "upstreams", "weights"}


# Guards against 503 in place of 404 at a host that has just started.
def test_host_is_current_before_it_has_read_the_weights():
    catalog = Catalog()
    follower = Follower(Source(ScriptedFeed()), catalog)
    upstreams, configuration, weights = follower.followers
    for dependent in (configuration, weights):
        assert not dependent.may_call(False)
    upstreams.on_store_status(upstreams.kind, True)
    upstreams.on_position(1, time.monotonic())
    configuration.on_store_status(configuration.kind, True)
    catalog.update_configuration(Configuration(1, (), {}), b"")
    catalog.replace_upstreams({})
    assert catalog.is_fresh()


def test_unchanged_registrations_keep_generation():
    listing = Ok(Listing(1, [make_object("u1")]))
    again = Ok(FeedChanges(2, [FeedChange(make_object("u1"))]))
    drain = Ok(FeedChanges(3, [FeedChange(make_object("u1", b"draining"))]))
    _, task, catalog, _ = make_follower(listing, again, drain)
    task.step()
    generation = catalog.generation
    task.step()
    assert catalog.generation == generation
    task.step()
    assert catalog.generation != generation


def test_confirmations_between_hosts_expire():
    first, second = make_loaded_catalog(), make_loaded_catalog()
    first.record_confirmation(age_s=1.5)
    for _ in range(4):
        second.record_confirmation(first.age_s())
        first.record_confirmation(second.age_s())
    assert first.is_fresh() and second.is_fresh()
    assert first.age_s() >= 1.5 and second.age_s() >= 1.5
    stale = make_loaded_catalog()
    assert not stale.is_fresh()
    stale.record_confirmation(age_s=CONFIRMATION_TTL_S)
    assert not stale.is_fresh()


def make_draining_follower(position):
    """Return a follower whose catalog has a draining upstream at a position."""
    listing = Listing(position, [make_object("u1", b"draining")])
    follower, task, catalog, _ = make_follower(Ok(listing))
    task.step()
    assert catalog.upstreams["u1"].draining
    return follower, catalog


# Guards against new work for an upstream that drains, after the state of another host,
# or a call that was slow, tells of a time before.
def test_older_upstreams_are_ignored():
    older = Upstream("u1", "s", Address("127.0.0.1", 1), "z", 1)
    follower, catalog = make_draining_follower(9)
    follower.replace_upstreams({"u1": older}, 0, position=7)
    assert catalog.upstreams["u1"].draining and catalog.upstreams_position == 9
    follower.apply_upstream_listing(Listing(8, [make_object("u1")]))
    assert catalog.upstreams["u1"].draining and catalog.upstreams_position == 9
    changes = FeedChanges(8, [FeedChange(make_object("u1"))])
    follower.apply_upstream_changes(changes)
    assert catalog.upstreams["u1"].draining and catalog.upstreams_position == 9
    follower.replace_upstreams({"u1": older}, 0, position=10)
    assert not catalog.upstreams["u1"].draining and catalog.upstreams_position == 10


# Guards against a watch that began before another state was taken over.
def test_changes_over_a_later_position_are_applied():
    follower, catalog = make_draining_follower(9)
    changes = [FeedChange(make_object("u1")), FeedChange(make_object("u2"))]
    follower.apply_upstream_changes(FeedChanges(12, changes))
    assert set(catalog.upstreams) == {"u1", "u2"}
    assert catalog.upstreams_position == 12


def make_weights_listing(*versions):
    """Return listings of the declared versions of a model, one for each."""
    return [Ok(Listing(n, [make_object("m1", b"%d" % n)])) for n in versions]


# Guards against a host that starts after a declaration and takes the old weights for
# permitted as long as if they had been declared just then (VERSION).
def test_versions_found_at_start_are_assumed_to_be_old():
    feed = ScriptedFeed([Ok(Listing(1)), Ok(Listing(1)), *make_weights_listing(3)])
    catalog = Catalog()
    follower = Follower(Source(feed), catalog, assumed_weights_age_s=11.0)
    catalog.update_configuration(Configuration(1, (), {}), b"")
    for task in follower.followers:
        task.step()
    assert catalog.is_fresh()
    assert catalog.outdated_s("m1", 2, time.monotonic()) >= 11.0


# Guards against engines that are left out as outdated when a version is declared, as
# the host finds it by a listing.
@pytest.mark.parametrize("reads_itself", (True, False))
def test_version_found_later_was_declared_since_the_last_read(reads_itself):
    feed = ScriptedFeed(make_weights_listing(2, 3))
    catalog = Catalog()
    follower = Follower(Source(feed), catalog, assumed_weights_age_s=11.0)
    weights = follower.followers[-1]
    weights.step()
    weights.position = None
    if not reads_itself:
        catalog.weights_read_s = -math.inf
        catalog.record_confirmation(0.5, "h2")
    weights.step()
    assert catalog.outdated_s("m1", 2, time.monotonic()) < 0.7


# Guards against a host that counts as following the store by a call that hangs.
def test_view_grows_old_while_a_call_hangs():
    _, upstreams, catalog, _ = make_follower(Ok(Listing(1)))
    catalog.update_configuration(Configuration(1, (), {}), b"")
    catalog.unread_kinds.discard("configuration")
    upstreams.step()
    assert catalog.follows_store() and catalog.is_fresh()
    catalog.store_answered_s -= CONFIRMATION_TTL_S
    assert catalog.follows_store() and not catalog.is_fresh()
    assert catalog.age_s() >= CONFIRMATION_TTL_S


@define
class HeldUpFeed(ScriptedFeed):
    """Answers, while the host stands still for a time from each call on."""

    clock: ManualClock = field(factory=ManualClock)
    held_up_s: float = 0.0

    def _next(self):
        self.clock.now_s += self.held_up_s
        return ScriptedFeed._next(self)


# Guards against a host that takes its view for current, and confirms that of others,
# after an answer that came before the host stood still.
def test_late_answer_does_not_confirm_view(monkeypatch):
    feed = HeldUpFeed([Ok(Listing(1)), Ok(FeedChanges(1)), Ok(FeedChanges(1))])
    monkeypatch.setattr(catalogs, "time", feed.clock)
    monkeypatch.setattr(followers, "time", feed.clock)
    catalog = Catalog()
    follower = Follower(Source(feed), catalog)
    catalog.update_configuration(Configuration(1, (), {}), b"")
    catalog.unread_kinds.discard("configuration")
    follower.upstream_follower.step()
    assert catalog.age_s() == 0.0
    feed.held_up_s = 5.0
    follower.upstream_follower.step()
    assert catalog.age_s() > 4.0 and not catalog.is_fresh()
    feed.held_up_s = 0.8  # the wait and an answer of a slow store
    follower.upstream_follower.step()
    assert catalog.age_s() == 0.0


# Guards against registrations kept for upstreams that are gone, because this host alone
# was turned away by the store.
def test_no_grace_period_while_others_read_the_store():
    follower, _, catalog, _ = make_follower()
    catalog.record_confirmation(0.3, "h2")
    follower.handle_store_success(outage_s=5.0)
    assert not follower._in_grace()
    catalog.confirmed_s -= 5.0
    follower.handle_store_success(outage_s=5.0)
    assert follower._in_grace()

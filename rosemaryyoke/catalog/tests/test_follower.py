"""Followers recover from store errors, outages and malformed entries."""

import threading
import time

from attrs import define, field
from result import Err, Ok

from rosemaryyoke.catalog import Catalog, Follower, Upstream, WantedWeights
from rosemaryyoke.catalog.follower import KindFollower
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects.feed import FeedChange, FeedChanges, FeedError, Listing
from rosemaryyoke.objects.objects import StoredObject


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

    def decode_upstream(self, stored):
        """Return an upstream, or an error for the body ``bad``."""
        if stored.body == b"bad":
            return Err("bad")
        address = Address("127.0.0.1", 1)
        draining = stored.body == b"draining"
        return Ok(Upstream(stored.name, "s", address, "z", 1, draining))


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

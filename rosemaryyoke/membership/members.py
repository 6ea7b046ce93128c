"""Membership service of a host."""

import threading
import time

from absl import logging
from result import Err

from rosemaryyoke.core import Kernel
from rosemaryyoke.membership.codec import UpstreamNotice
from rosemaryyoke.membership.links import Links
from rosemaryyoke.membership.table import FAILED, Member, MemberTable
from rosemaryyoke.objects import LEAVING, ListedHost, ObjectApi
from rosemaryyoke.placement.rendezvous import RankingCache, rank
from rosemaryyoke.settings import Settings

LIST_PERIOD_S = 1.0
HOMES_PER_ACCOUNT = 2
WATCHERS_PER_DATA_CENTRE = 2
WATCHERS_KEY = b"watch"
FAILED_RETENTION_S = 86_400.0
# When the platform begins or ceases to reject hosts of this data centre, the others
# find out in turns whether it rejects them, too.
PROBE_CHECK_PERIOD_S = 0.1
PROBE_SPREAD_S = 0.02  # between two hosts; a data centre has some 60
MIN_PROBE_INTERVAL_S = 3.0
MILLISECONDS_PER_S = 1_000


class Members:
    """Tracks the hosts, the home hosts of client accounts and the watchers.

    The platform's list seeds and corrects the table. A few watchers in each data centre
    read the list; the other hosts receive updates from peers. Hosts tell each other
    when the platform does not answer them, and are then no watchers while it answers
    others.
    """

    def __init__(self, kernel: Kernel, settings: Settings, api: ObjectApi):
        self.kernel = kernel
        self.settings = settings
        self.api = api
        local_member = Member(
            settings.name,
            settings.http_address,
            settings.peer_address,
            settings.data_centre,
            int(time.time() * MILLISECONDS_PER_S),
        )
        self.table = MemberTable(local_member)
        key = settings.shared_key.encode()
        self.links = Links(kernel, self.table, key, settings.seed_peers)
        self.lock = threading.Lock()
        self.rankings = RankingCache(HOMES_PER_ACCOUNT)
        self.failed_at_s: dict[str, float] = {}
        self.listed = False
        self.rejected: frozenset[str] = frozenset()
        self.probed_s = float("-inf")
        self.live_cache: tuple[int, dict[str, Member]] = (-1, {})

    def start(self) -> None:
        """Open links and poll the platform's list of hosts."""
        self.links.start()
        timer = self.kernel.get("timer")
        timer.after(0.0, self.refresh)
        timer.every(LIST_PERIOD_S, self.refresh)
        timer.every(PROBE_CHECK_PERIOD_S, self.check_rejections)
        self.kernel.get("revisions").subscribe(self.announce_revision)

    def stop(self) -> None:
        """Close all links to peers."""
        self.links.stop()

    @property
    def local_member(self) -> Member:
        """Return this host's entry."""
        return self.table.local_member

    def announce_revision(self, rules) -> None:
        """Announce the revision that is in force on this host."""
        self.links.announce(self.table.update_local(revision=rules.revision))

    def refresh(self) -> None:
        """Read the platform's list if this host is a watcher or has not read it yet."""
        self._remove_expired()
        if not self.listed or self.is_watcher():
            self.read_list()

    def read_list(self) -> bool:
        """Read the platform's list; return whether the platform answered."""
        listed = self.api.hosts()
        failed = isinstance(listed, Err)
        if failed != self.local_member.platform_failed:
            logging.info("platform answers this host: %s", not failed)
            self.links.announce(self.table.update_local(platform_failed=failed))
        if failed:
            return False
        self.listed = True
        for host in listed.ok_value:
            self._apply_listed_entry(host)
        return True

    def check_rejections(self) -> None:
        """Probe the platform, in turn, once it rejects other hosts or ceases to."""
        local = self.local_members()
        rejected = frozenset(
            name
            for name, member in local.items()
            if member.platform_failed and name != self.local_member.name
        )
        now_s = time.monotonic()
        if rejected == self.rejected or now_s - self.probed_s < MIN_PROBE_INTERVAL_S:
            return
        self.rejected, self.probed_s = rejected, now_s
        order = rank(WATCHERS_KEY, local, len(local))
        own = self.local_member.name
        position = order.index(own) if own in order else len(order)
        self.kernel.get("timer").after(position * PROBE_SPREAD_S, self.probe)

    def probe(self) -> None:
        """Read the platform's list and the rules, unless this host does so anyway."""
        if not self.is_watcher() and self.read_list():
            updated = self.kernel.get("revisions").update_from_platform()
            if isinstance(updated, Err):
                logging.warning("reading the rules failed: %s", updated.err_value)

    def _apply_listed_entry(self, host: ListedHost) -> None:
        if host.peer_address:
            self._add_listed_host(host)
            return
        leaving = host.state == LEAVING
        if leaving or host.name in self.links.seen_notices:
            self.links.publish_notice(UpstreamNotice(host.name, host.address, leaving))

    def _add_listed_host(self, host: ListedHost) -> None:
        known = self.table.members.get(host.name)
        if known is None:
            entry = Member(host.name, host.address, host.peer_address, host.data_centre)
            self.links.announce(self.table.merge(entry) or entry)

    def _remove_expired(self) -> None:
        now_s = time.monotonic()
        failed = {m.name for m in self.table.all() if m.standing == FAILED}
        for name in set(self.failed_at_s) - failed:
            del self.failed_at_s[name]
        for name in failed:
            if now_s - self.failed_at_s.setdefault(name, now_s) > FAILED_RETENTION_S:
                self.table.remove(name)

    def leave(self) -> None:
        """Mark this host as leaving, so that it gets no new clients; announce it."""
        self.links.announce(self.table.update_local(leaving=True))

    def all(self) -> list[Member]:
        """Return all known hosts, sorted by name."""
        return self.table.all()

    def live(self) -> dict[str, Member]:
        """Return the hosts that accept clients, by name."""
        generation, live = self.live_cache
        if generation != self.table.generation:
            generation = self.table.generation
            live = {m.name: m for m in self.table.all() if m.live and m.address}
            self.live_cache = (generation, live)
        return live

    def local_members(self) -> dict[str, Member]:
        """Return the live hosts of this data centre by name."""
        return {
            name: member
            for name, member in self.live().items()
            if member.data_centre == self.local_member.data_centre
        }

    def is_watcher(self) -> bool:
        """Return whether this host reads the platform's list for its data centre.

        Hosts that the platform does not answer are none, unless it answers nobody.
        """
        local = self.local_members()
        answered = [name for name in local if not local[name].platform_failed]
        watchers = rank(WATCHERS_KEY, answered or local, WATCHERS_PER_DATA_CENTRE)
        return self.local_member.name in watchers or self.local_member.leaving

    def owner(self, key: bytes) -> Member:
        """Return the host that batches writes for a key."""
        live = self.live()
        names = rank(key, live, 1)
        return live[names[0]] if names else self.local_member

    def homes(self, account: str, data_centre: str = "") -> list[Member]:
        """Return an account's home hosts, those in the given data centre first."""
        live = self.live()
        with self.lock:
            names = self.rankings.rank(account.encode(), frozenset(live))
        homes = [live[name] for name in names]
        return sorted(homes, key=lambda member: member.data_centre != data_centre)

    def home_count(self, account: str) -> int:
        """Return the number of an account's home hosts."""
        return min(HOMES_PER_ACCOUNT, len(self.live()))

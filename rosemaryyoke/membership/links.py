"""Links to a few peers: heartbeats, and updates flooded over all links."""

import random
import threading
import time
from typing import Callable

from absl import logging
from attrs import define, field

from rosemaryyoke.core import Kernel, make_pool
from rosemaryyoke.membership.codec import (
    UpstreamNotice,
    decode_members,
    decode_notices,
    encode_members,
    encode_notices,
    make_heartbeat,
)
from rosemaryyoke.membership.overlay import link_targets
from rosemaryyoke.membership.table import FAILED, SUSPECT, Member, MemberTable
from rosemaryyoke.peers import Channel, PeerError, PeerServer, connect

HEARTBEAT_S = 2.0
RECEIVE_TIMEOUT_S = 5.0
SUSPECT_TIMEOUT_S = 3.0
COALESCE_DELAY_S = 0.05
LINK_CHECK_PERIOD_S = 0.5
SEND_TIMEOUT_S = 1.0
MAX_RECEIVE_THREADS = 16
REJOIN_PERIOD_S = 2.0
SUSPECT_AFTER_OPEN_FAILURES = 2


def incarnation_key(member: Member) -> tuple[str, int]:
    """Return the identity of one start of a host's process; its addresses are fixed."""
    return member.name, member.incarnation


@define(eq=False)
class Link:
    """One open link and the updates queued for it."""

    channel: Channel
    pending_members: dict[str, Member] = field(factory=dict)
    pending_notices: dict[str, UpstreamNotice] = field(factory=dict)
    known_incarnations: set[tuple[str, int]] = field(factory=set)
    lock: threading.Lock = field(factory=threading.Lock)

    def queue_member(self, member: Member) -> None:
        """Queue a member's entry, replacing an earlier one."""
        with self.lock:
            self.pending_members[member.name] = member

    def queue_notice(self, notice: UpstreamNotice) -> None:
        """Queue an upstream's notice, replacing an earlier one."""
        with self.lock:
            self.pending_notices[notice.name] = notice

    def flush(self) -> None:
        """Send queued updates; omit addresses if the peer knows the incarnation."""
        with self.lock:
            members, self.pending_members = list(self.pending_members.values()), {}
            notices, self.pending_notices = list(self.pending_notices.values()), {}
            short = [
                item
                for item in members
                if incarnation_key(item) in self.known_incarnations
            ]
            full = [
                item
                for item in members
                if incarnation_key(item) not in self.known_incarnations
            ]
            self.known_incarnations.update(incarnation_key(item) for item in full)
        for group, omit_addresses in ((full, False), (short, True)):
            if group:
                message = encode_members(group, omit_addresses)
                self.channel.send(message, SEND_TIMEOUT_S)
        if notices:
            self.channel.send(encode_notices(notices), SEND_TIMEOUT_S)


class Links:
    """Maintains the links of the overlay and propagates updates over them."""

    def __init__(
        self, kernel: Kernel, table: MemberTable, key: bytes, seeds: list[str]
    ):
        self.kernel = kernel
        self.table = table
        self.key = key
        self.seeds = seeds
        self.pool = make_pool("link", MAX_RECEIVE_THREADS)
        self.lock = threading.Lock()
        self.outgoing: dict[str, Link] = {}
        self.links: dict[Channel, Link] = {}
        self.handlers: dict[str, Callable[[Channel, object], None]] = {}
        self.seen_notices: dict[str, UpstreamNotice] = {}
        self.open_failures: dict[str, int] = {}
        self.suspected_at_s: dict[str, float] = {}
        self.flushing = False
        self.stopping = False

    def start(self) -> None:
        """Register message handlers and start the periodic tasks."""
        self.recorder = self.kernel.get("recorder")
        self.timer = self.kernel.get("timer")
        server: PeerServer = self.kernel.get("peers").server
        server.handlers.register("members")(self.handle_members)
        server.handlers.register("notices")(self.handle_notices)
        server.handlers.register("heartbeat")(self.handle_heartbeat)
        self.timer.after(0.0, self.contact_seeds)
        self.timer.every(LINK_CHECK_PERIOD_S, self.maintain_links)
        self.timer.every(REJOIN_PERIOD_S, self.contact_unreachable_hosts)
        self.timer.every(HEARTBEAT_S, self.send_heartbeats)

    def register(self, kind: str, handler: Callable[[Channel, object], None]) -> None:
        """Register the handler of a kind of message, whichever side opened the link."""
        self.handlers[kind] = handler
        self.kernel.get("peers").server.handlers.register(kind)(handler)

    def broadcast(self, message) -> None:
        """Send a message over all links."""
        with self.lock:
            channels = list(self.links)
        for channel in channels:
            try:
                channel.send(message, SEND_TIMEOUT_S)
            except PeerError:
                self._close_link(channel)

    def stop(self) -> None:
        """Close all links."""
        self.stopping = True
        with self.lock:
            links = list(self.links.values())
        for link in links:
            link.channel.close()
        self.pool.shutdown(wait=False, cancel_futures=True)

    def maintain_links(self) -> None:
        """Open missing links, close surplus ones and expire suspects."""
        reachable = [m for m in self.table.all() if m.standing != FAILED]
        by_name = {member.name: member for member in reachable}
        wanted = link_targets(self.table.local_name, by_name)
        with self.lock:
            missing = [name for name in wanted if name not in self.outgoing]
            surplus = [name for name in self.outgoing if name not in wanted]
            unwanted = [self.outgoing.pop(name) for name in surplus]
        for link in unwanted:
            link.channel.close()
        for name in missing:
            self._open_link(by_name[name])
        self._expire_suspects()

    def contact_seeds(self) -> None:
        """Exchange members with each seed."""
        for address in self.seeds:
            self._exchange_members(address)

    def contact_unreachable_hosts(self) -> None:
        """Exchange members with a random failed host and with an unknown seed.

        Otherwise hosts that started separately would form separate rings, and after a
        partition between data centres each side would consider the other failed
        forever.
        """
        members = self.table.all()
        known = {member.peer_address for member in members}
        unknown = [address for address in self.seeds if address not in known]
        failed = [m.peer_address for m in members if m.standing == FAILED]
        if failed:
            self._exchange_members(random.choice(failed))
        for address in random.sample(unknown, len(unknown)):
            if self._exchange_members(address):
                return

    def _exchange_members(self, address: str) -> bool:
        """Exchange members with a host on a temporary channel."""
        try:
            channel = connect(address, self.key, self.recorder)
        except PeerError:
            return False
        try:
            channel.send(encode_members(self.table.all()), SEND_TIMEOUT_S)
            self._merge_members(decode_members(channel.receive(SEND_TIMEOUT_S)), None)
        except PeerError:
            return False
        finally:
            channel.close()
        return True

    def _open_link(self, member: Member) -> None:
        try:
            channel = connect(member.peer_address, self.key, self.recorder)
        except PeerError as error:
            failures = self.open_failures.get(member.name, 0) + 1
            self.open_failures[member.name] = failures
            if failures >= SUSPECT_AFTER_OPEN_FAILURES:
                self.suspect(member.name, str(error))
            return
        self.open_failures.pop(member.name, None)
        link = self._add_link(channel)
        with self.lock:
            self.outgoing[member.name] = link
        self.pool.submit(self._receive, member.name, link)

    def _add_link(self, channel: Channel) -> Link:
        """Register a link and queue all members and notices for its peer."""
        link = Link(channel)
        with self.lock:
            self.links[channel] = link
        for member in self.table.all():
            link.queue_member(member)
        for notice in list(self.seen_notices.values()):
            link.queue_notice(notice)
        self._schedule_flush()
        return link

    def _receive(self, name: str, link: Link) -> None:
        """Handle a link's messages until it ends; ``maintain_links`` opens it again.

        A lost link alone does not make the peer suspect: a delay on this host may have
        ended it.
        """
        try:
            while True:
                message = link.channel.receive(RECEIVE_TIMEOUT_S)
                kind = message.which()
                if kind == "members":
                    self.handle_members(link.channel, message)
                elif kind == "notices":
                    self.handle_notices(link.channel, message)
                elif kind in self.handlers:
                    self.handlers[kind](link.channel, message)
        except PeerError as error:
            logging.debug("link to %s closed: %s", name, error)
        except Exception:
            logging.exception("unexpected error on the link to %s", name)
        with self.lock:
            self.links.pop(link.channel, None)
            if self.outgoing.get(name) is link:
                del self.outgoing[name]
        link.channel.close()

    def suspect(self, name: str, reason: str) -> None:
        """Mark a host as suspect and announce it."""
        entry = self.table.mark(name, SUSPECT)
        if entry is not None:
            self.recorder.record("host.suspected", host=name, reason=reason)
            self.announce(entry)

    def _expire_suspects(self) -> None:
        now_s = time.monotonic()
        suspects = {m.name for m in self.table.all() if m.standing == SUSPECT}
        for name in set(self.suspected_at_s) - suspects:
            del self.suspected_at_s[name]
        for name in suspects:
            since_s = self.suspected_at_s.setdefault(name, now_s)
            if now_s - since_s >= SUSPECT_TIMEOUT_S:
                entry = self.table.mark(name, FAILED)
                if entry is not None:
                    self.recorder.record("host.failed", host=name)
                    self.announce(entry)

    def handle_members(self, channel: Channel, message) -> None:
        """Merge received entries and propagate those that changed."""
        link = self._get_or_add_link(channel)
        received = decode_members(message)
        link.known_incarnations.update(
            incarnation_key(item) for item in received if item.address
        )
        self._merge_members(received, channel)

    def _merge_members(self, members: list[Member], channel: Channel | None) -> None:
        for received in members:
            changed = self.table.merge(received)
            if changed is None:
                continue
            mine = changed.name == self.table.local_name
            self.announce(changed, None if mine else channel)
            self.kernel.get("exchange").handle_member_update(changed)

    def handle_notices(self, channel: Channel, message) -> None:
        """Apply received notices and propagate new ones."""
        self._get_or_add_link(channel)
        for notice in decode_notices(message):
            self.publish_notice(notice, channel)

    def handle_heartbeat(self, channel: Channel, message):
        """Answer a heartbeat, so that the peer sees that this host is alive."""
        self._get_or_add_link(channel)
        return make_heartbeat()

    def publish_notice(
        self, notice: UpstreamNotice, source: Channel | None = None
    ) -> None:
        """Apply a notice that is new and propagate it."""
        if self.seen_notices.get(notice.name) == notice:
            return
        self.seen_notices[notice.name] = notice
        self.kernel.get("directory").apply_notice(notice)
        self._queue_on_links(lambda link: link.queue_notice(notice), source)

    def announce(self, member: Member, source: Channel | None = None) -> None:
        """Queue an entry on every link except the one it came from."""
        self._queue_on_links(lambda link: link.queue_member(member), source)

    def _queue_on_links(self, queue, source: Channel | None) -> None:
        with self.lock:
            links = list(self.links.items())
        for channel, link in links:
            if channel is not source:
                queue(link)
        self._schedule_flush()

    def _get_or_add_link(self, channel: Channel) -> Link:
        with self.lock:
            link = self.links.get(channel)
        return link or self._add_link(channel)

    def _schedule_flush(self) -> None:
        with self.lock:
            if self.flushing:
                return
            self.flushing = True
        self.timer.after(COALESCE_DELAY_S, self.flush)

    def flush(self) -> None:
        """Send the queued updates of every link."""
        with self.lock:
            self.flushing = False
            links = list(self.links.items())
        for channel, link in links:
            try:
                link.flush()
            except PeerError:
                self._close_link(channel)

    def send_heartbeats(self) -> None:
        """Send a heartbeat on each link that this host opened."""
        with self.lock:
            links = list(self.outgoing.values())
        for link in links:
            try:
                link.channel.send(make_heartbeat(), SEND_TIMEOUT_S)
            except PeerError:
                link.channel.close()

    def _close_link(self, channel: Channel) -> None:
        with self.lock:
            self.links.pop(channel, None)
        channel.close()

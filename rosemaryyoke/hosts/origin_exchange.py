"""Tells other hosts the origins of streams, and asks them.

While upstreams of several software versions serve, each origin is told to a few hosts
chosen by a hash of the request, so that others know it if this host stops.
"""

import struct
import threading
import time
from typing import Callable, Iterable, Sequence

from attrs import define, field, frozen

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.core.logs import log_event
from rosemaryyoke.fleet import upstream_key
from rosemaryyoke.hosts.beacons import BeaconService
from rosemaryyoke.hosts.digests import batched
from rosemaryyoke.hosts.table import HostTable, Peer
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects.eras import boot_time_s
from rosemaryyoke.origins import (
    OriginMemory,
    OriginRow,
    ServedVersions,
    decode_origins,
    encode_origins,
    origin_key,
)
from rosemaryyoke.placement.rendezvous import rank
from rosemaryyoke.quarantine import request_key

TOLD_HOSTS = 4
# Hosts know different peers for a while after one has started or stopped.
ASKED_HOSTS = 8
ASK_ALL_HOSTS = 24  # smaller fleets are asked as a whole
ASK_TIMEOUT_S = 0.3
ASK_TIMEOUT_IF_SOLE_S = 0.1  # while no second version is known
ASK_REPEAT_S = 0.06
START_S = 2.0  # until a host has heard of the others
ROWS_PER_NOTICE = 64
MAX_PENDING = 4_096

# Kinds of datagrams: the first byte.
TELL = b"O"
ASK = b"A"
REPLY = b"R"
ASK_HEADER = struct.Struct("<Q")  # request key; the address to reply to follows
# Key of the host that replies; the row of the origin follows if it is known.
REPLY_HEADER = struct.Struct("<QI")

# A pause between ticks after which this host has probably been suspended.
SUSPENDED_S = 2.0

OWN, TOLD, ASKED = "own", "told", "asked"
SOLE, EARLIER, UNKNOWN = "sole version", "earlier version", "unknown"


@frozen
class Resolution:
    """The origin of a stream, ``None`` if it is unknown, and how it is known.

    Unless ``is_current``, another host may know more of the versions that serve.
    """

    origin: int | None
    source: str
    age_s: float | None = None
    is_current: bool = True


@define(eq=False)
class Question:
    """What hosts replied on one request: its origin, or that they don't know it."""

    row: OriginRow | None = None
    without: set[int] = field(factory=set)
    replied: threading.Condition = field(factory=threading.Condition)


@define(eq=False)
class OriginExchange:
    """The origins of streams as this host and the others know them.

    ``pending`` are the rows to tell once more, since datagrams may be lost.
    ``read_past`` adds the versions that served before this host started, and
    ``read_versions`` those that were registered until after a time; it returns whether
    the store has answered.
    """

    table: HostTable
    beacons: BeaconService
    catalog: Catalog
    memory: OriginMemory = field(factory=OriginMemory)
    served: ServedVersions = field(factory=ServedVersions)
    questions: dict[int, Question] = field(factory=dict)
    pending: list[OriginRow] = field(factory=list)
    lock: threading.Lock = field(factory=threading.Lock)
    now_s: Callable[[], float] = time.monotonic
    boot_time_s: Callable[[], float] = boot_time_s
    read_past: Callable[[], None] = lambda: None
    read_versions: Callable[[float], bool] = lambda since_s: False
    was_fresh: bool = True
    ticked_s: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.ticked_s = self.boot_time_s()
        self.beacons.handlers[TELL] = self.handle_told
        self.beacons.handlers[ASK] = self.handle_question
        self.beacons.handlers[REPLY] = self.handle_reply

    def update_versions(self) -> None:
        """Update the served versions; tell own streams if a second version came."""
        self.handle_grown(self.served.update(list(self.catalog.upstreams.values())))

    def add_versions(self, versions: Iterable[tuple[str, str]]) -> None:
        """Add versions that the store has registered, each with its service."""
        self.handle_grown(self.served.add(versions))

    def handle_grown(self, grown: set[str]) -> None:
        """Tell own streams if services have upstreams of a further version."""
        if not grown:
            return
        for service in grown:
            versions = [item.software for item in self.served.versions([service])]
            log_event("software versions mixed", service=service, versions=versions)
        self.tell(self.memory.own_rows(self.now_s()))

    def record_begin(
        self, request_id: bytes, services: Sequence[str], software: str
    ) -> None:
        """Remember a stream of some services that began here at a software version.

        Others are told if upstreams of several versions serve, or may do so without
        this host's knowledge.
        """
        now_s, origin = self.now_s(), origin_key(software)
        request = request_key(request_id)
        self.memory.record(request, origin, now_s, is_own=True)
        if self.served.is_mixed(services) or not self.catalog.is_fresh():
            self.tell([OriginRow(request, origin, now_s)])

    def tick(self) -> None:
        """Tell what is pending once more, and forget old origins."""
        self.memory.expire(self.now_s())
        self.check_continuity()
        with self.lock:
            rows, self.pending = self.pending, []
        self.send(rows)

    def check_continuity(self) -> None:
        """Give up what is known of the past if this host did not follow the store.

        Others are then told the origins of its streams, as they can't find them out.
        """
        was_fresh, self.was_fresh = self.was_fresh, self.catalog.is_fresh()
        before_s, self.ticked_s = self.ticked_s, self.boot_time_s()
        if not self.was_fresh or self.ticked_s - before_s > SUSPENDED_S:
            self.served.forget_past()
        if was_fresh and not self.was_fresh:
            self.tell(self.memory.own_rows(self.now_s()))

    def tell(self, rows: list[OriginRow]) -> None:
        """Tell origins now, and once more at the next tick."""
        self.send(rows)
        with self.lock:
            self.pending = [*self.pending, *rows][-MAX_PENDING:]

    def send(self, rows: Iterable[OriginRow]) -> None:
        """Send origins to the hosts that are to remember them."""
        rows_by_address: dict[Address, list[OriginRow]] = {}
        peers = self.table.live_peers(self.now_s())
        for row in rows:
            for address in self.chosen(peers, row.request, TOLD_HOSTS):
                rows_by_address.setdefault(address, []).append(row)
        for address, told in rows_by_address.items():
            for part in batched(told, ROWS_PER_NOTICE):
                data = TELL + encode_origins(part, self.now_s())
                self.beacons.send_to_all(data, [address])

    def chosen(self, peers: Sequence[Peer], request: int, count: int) -> list[Address]:
        """Return the addresses of the hosts that are chosen for a request."""
        addresses = {peer.beacon.host: peer.beacon.peer_address for peer in peers}
        if len(addresses) > count:
            key = request.to_bytes(8, "big")
            return [addresses[name] for name in rank(key, addresses, count)]
        return list(addresses.values())

    def resolve(self, services: Sequence[str], request_id: bytes | None) -> Resolution:
        """Return the origin of a stream that a caller resumes at one of some services.

        Others are asked if this host does not know. What serves alone is taken if
        nothing else has served since before the stream began.
        """
        arrived_s = self.now_s()
        if request_id is not None:
            request = request_key(request_id)
            known = self.memory.find(request, arrived_s)
            if known is not None:
                source = OWN if known.is_own else TOLD
                return Resolution(known.origin, source, arrived_s - known.began_s)
        may_be_sole = self.find_sole(services) is not None
        if may_be_sole and self.knows_versions(arrived_s):
            sole = self.find_sole(services)
            if sole is not None:
                return Resolution(sole, SOLE)
        everyone_replied = True
        if request_id is not None:
            timeout_s = ASK_TIMEOUT_IF_SOLE_S if may_be_sole else ASK_TIMEOUT_S
            row, everyone_replied = self.ask(request, timeout_s)
            if row is not None:
                self.memory.learn([row])
                return Resolution(row.origin, ASKED, self.now_s() - row.began_s)
        is_current = self.knows_versions(arrived_s)
        is_proved = everyone_replied and is_current
        earlier = self.find_earlier(services) if is_proved else None
        source = UNKNOWN if earlier is None else EARLIER
        return Resolution(earlier, source, is_current=is_current)

    def knows_versions(self, since_s: float) -> bool:
        """Return whether all versions that served until ``since_s`` are known.

        The store is read for those that this host has not seen.
        """
        if not self.read_versions(since_s):
            return False
        if not self.served.knows_history():
            self.read_past()
        return self.served.knows_history()

    def find_sole(self, services: Sequence[str]) -> int | None:
        """Return the only origin that streams of some services can have."""
        software = self.served.find_sole(services)
        return None if software is None else origin_key(software)

    def find_earlier(self, services: Sequence[str]) -> int | None:
        """Return the origin of streams from before a second version came."""
        software = self.served.find_earlier(services)
        return None if software is None else origin_key(software)

    def ask(self, request: int, timeout_s: float) -> tuple[OriginRow | None, bool]:
        """Ask other hosts for an origin; return it, and whether all have replied.

        Without any other host, none has.
        """
        deadline_s = self.now_s() + timeout_s
        question = Question()
        try:
            while True:
                with self.lock:
                    question = self.questions.setdefault(request, question)
                asked = self.send_question(request, question)
                missing = asked - question.without
                is_new = self.now_s() - self.served.started_s < START_S
                with question.replied:
                    if question.row is not None:
                        return question.row, True
                    if not missing and not is_new:
                        return None, bool(question.without)
                    left_s = deadline_s - self.now_s()
                    if left_s <= 0:
                        return None, bool(question.without) and not missing
                    question.replied.wait(min(ASK_REPEAT_S, left_s))
        finally:
            with self.lock:
                self.questions.pop(request, None)

    def send_question(self, request: int, question: Question) -> set[int]:
        """Ask the hosts that have not replied yet; return the keys of all asked."""
        peers = self.table.live_peers(self.now_s())
        count = len(peers) if len(peers) <= ASK_ALL_HOSTS else ASKED_HOSTS
        chosen = set(self.chosen(peers, request, count))
        asked = {
            upstream_key(peer.beacon.host): peer.beacon.peer_address
            for peer in peers
            if peer.beacon.peer_address in chosen
        }
        own = str(self.table.own_address).encode()
        data = ASK + ASK_HEADER.pack(request) + own
        left = [
            address for key, address in asked.items() if key not in question.without
        ]
        self.beacons.send_to_all(data, left)
        return set(asked)

    def handle_told(self, data: bytes) -> None:
        """Remember what another host tells; raise ``ValueError`` if it is invalid."""
        self.memory.learn(decode_origins(data, self.now_s()))

    def handle_question(self, data: bytes) -> None:
        """Reply to a question; raise ``ValueError`` if it is invalid."""
        if len(data) <= ASK_HEADER.size:
            raise ValueError("a question without an address")
        (request,) = ASK_HEADER.unpack_from(data)
        address = Address.parse(data[ASK_HEADER.size :].decode())
        now_s = self.now_s()
        known = self.memory.find(request, now_s)
        rows = (
            [] if known is None else [OriginRow(request, known.origin, known.began_s)]
        )
        header = REPLY_HEADER.pack(request, upstream_key(self.table.host))
        reply = REPLY + header + encode_origins(rows, now_s)
        self.beacons.send_to_all(reply, [address])

    def handle_reply(self, data: bytes) -> None:
        """Hand a reply to who asked; raise ``ValueError`` if it is invalid."""
        if len(data) < REPLY_HEADER.size:
            raise ValueError("an incomplete reply")
        request, host = REPLY_HEADER.unpack_from(data)
        rows = decode_origins(data[REPLY_HEADER.size :], self.now_s())
        with self.lock:
            question = self.questions.get(request)
        if question is None:
            return
        with question.replied:
            if rows:
                question.row = rows[0]
            else:
                question.without.add(host)
            question.replied.notify_all()

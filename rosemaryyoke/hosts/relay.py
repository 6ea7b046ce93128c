"""Hear of upstreams from a host near by that watches the store for others.

Every host that watches the store's registrations costs it some calls a second, so that
calls would grow with the fleet. A few hosts in each data centre watch; the others ask
one of them, and watch by themselves as soon as it does not answer or is cut off.
"""

import time
from typing import Callable
from urllib.parse import parse_qs, urlsplit

import orjson
from absl import logging
from attrs import define, field
from result import Err

from rosemaryyoke.catalog import Catalog, Upstream
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.hosts.transfer import decode_upstream, encode_upstream
from rosemaryyoke.http1 import Address, HttpClient, RequestMessage
from rosemaryyoke.placement.rendezvous import rank

TARGET = "/upstreams"
WATCHERS = 2  # in each data centre; one may fail
ANSWER_WAIT_S = 0.8
TIMEOUT_S = 1.2  # a drain is to be in force 2 s after its acknowledgement
AVOIDED_S = 5.0
JSON_TYPE = (b"Content-Type", b"application/json")


def answer_upstreams(
    catalog: Catalog, message: RequestMessage, caller: CallerConnection
) -> None:
    """Answer with the upstreams as soon as they differ from what the asker knows."""
    query = parse_qs(urlsplit(message.target.decode("latin-1")).query)
    known = query.get("generation", [""])[0]
    catalog.wait_changed(known, ANSWER_WAIT_S)
    if not catalog.is_fresh():
        caller.send_error(503, "cut_off", "the store does not answer this host")
        return
    generation, upstreams = catalog.generation, catalog.upstreams
    value = {"generation": generation}
    if generation != known:
        value["upstreams"] = [encode_upstream(item) for item in upstreams.values()]
    caller.send_response(200, b"OK", [JSON_TYPE], orjson.dumps(value))


@define(eq=False)
class UpstreamRelay:
    """Asks a watcher near by, where this host is not one itself."""

    host: str
    data_centre: str
    table: HostTable
    take: Callable[[dict[str, Upstream]], None]
    caller: HttpClient | None = None
    generation: str = ""
    avoided: dict[str, float] = field(factory=dict)

    def step(self) -> bool:
        """Ask a watcher once; tell whether it answered."""
        watcher = self.find_watcher(time.monotonic())
        if watcher is None:
            self.reset()
            return False
        name, address = watcher
        if self.caller is None or self.caller.address != address:
            self.reset()
            self.caller = HttpClient(address)
        target = f"{TARGET}?generation={self.generation}"
        reply = self.caller.request("GET", target, timeout_s=TIMEOUT_S)
        if isinstance(reply, Err) or not reply.ok_value.ok:
            logging.warning("watcher %s does not answer", name)
            self.avoided[name] = time.monotonic() + AVOIDED_S
            self.reset()
            return False
        self.take_answer(reply.ok_value.json())
        return True

    def take_answer(self, value: dict) -> None:
        """Take in a watcher's answer, which may say that nothing changed."""
        self.generation = value["generation"]
        if "upstreams" in value:
            upstreams = [decode_upstream(item) for item in value["upstreams"]]
            self.take({item.name: item for item in upstreams})

    def reset(self) -> None:
        """Forget the watcher that was asked."""
        if self.caller is not None:
            self.caller.close()
        self.caller = None
        self.generation = ""

    def find_watcher(self, now_s: float) -> tuple[str, Address] | None:
        """Return a watcher to ask, or none where this host is to watch."""
        near = {
            peer.beacon.host: peer.beacon.peers
            for peer in self.table.live(now_s)
            if peer.beacon.data_centre == self.data_centre
            and peer.beacon.ready
            and peer.beacon.store_answers
        }
        watchers = rank(self.data_centre.encode(), [*near, self.host], WATCHERS)
        if self.host in watchers:
            return None
        usable = [name for name in watchers if now_s >= self.avoided.get(name, 0.0)]
        if not usable:
            return None
        chosen = rank(self.host.encode(), usable, 1)[0]
        return chosen, near[chosen]

    def serves_others(self, now_s: float) -> bool:
        """Tell whether other hosts may rely on this one."""
        near = [
            peer
            for peer in self.table.live(now_s)
            if peer.beacon.data_centre == self.data_centre
        ]
        return len(near) >= WATCHERS

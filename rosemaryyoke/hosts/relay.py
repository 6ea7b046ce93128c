"""Distribution of upstream changes within a data centre.

Each host that watches the store's registrations costs it several calls a second, so the
load on the store would grow with the fleet. Instead, a few hosts in each data centre
watch the store and the others poll one of them. A host watches the store itself as soon
as its watcher does not respond or loses the store.
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

UPSTREAMS_PATH = "/upstreams"
WATCHERS_PER_DATA_CENTRE = 2  # one may fail
LONG_POLL_S = 0.8
REQUEST_TIMEOUT_S = 1.2  # a drain must be in force 2 s after its acknowledgement
WATCHER_BACKOFF_S = 5.0
JSON_TYPE = (b"Content-Type", b"application/json")


def answer_upstreams(
    catalog: Catalog, message: RequestMessage, caller: CallerConnection
) -> None:
    """Answer a long poll once the upstreams differ from the client's generation."""
    query = parse_qs(urlsplit(message.target.decode("latin-1")).query)
    known = query.get("generation", [""])[0]
    catalog.wait_changed(known, LONG_POLL_S)
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
    """Polls a watcher in the same data centre, unless this host is one itself."""

    host: str
    data_centre: str
    table: HostTable
    set_upstreams: Callable[[dict[str, Upstream]], None]
    caller: HttpClient | None = None
    generation: str = ""
    avoid_until_s: dict[str, float] = field(factory=dict)

    def poll(self) -> bool:
        """Poll a watcher once; return whether it responded."""
        watcher = self.choose_watcher(time.monotonic())
        if watcher is None:
            self.reset()
            return False
        name, address = watcher
        if self.caller is None or self.caller.address != address:
            self.reset()
            self.caller = HttpClient(address)
        target = f"{UPSTREAMS_PATH}?generation={self.generation}"
        reply = self.caller.request("GET", target, timeout_s=REQUEST_TIMEOUT_S)
        if isinstance(reply, Err) or not reply.ok_value.ok:
            logging.warning("polling watcher %s failed", name)
            self.avoid_until_s[name] = time.monotonic() + WATCHER_BACKOFF_S
            self.reset()
            return False
        self.apply_response(reply.ok_value.json())
        return True

    def apply_response(self, value: dict) -> None:
        """Apply a watcher's response, which omits the upstreams if none changed."""
        self.generation = value["generation"]
        if "upstreams" in value:
            upstreams = [decode_upstream(item) for item in value["upstreams"]]
            self.set_upstreams({item.name: item for item in upstreams})

    def reset(self) -> None:
        """Close the connection to the current watcher and drop its generation."""
        if self.caller is not None:
            self.caller.close()
        self.caller = None
        self.generation = ""

    def choose_watcher(self, now_s: float) -> tuple[str, Address] | None:
        """Return the watcher to poll, or None if this host must watch the store."""
        local_peers = {
            peer.beacon.host: peer.beacon.peer_address
            for peer in self.table.live_peers(now_s)
            if peer.beacon.data_centre == self.data_centre
            and peer.beacon.ready
            and peer.beacon.store_reachable
        }
        watchers = rank(
            self.data_centre.encode(),
            [*local_peers, self.host],
            WATCHERS_PER_DATA_CENTRE,
        )
        if self.host in watchers:
            return None
        usable = [
            name for name in watchers if now_s >= self.avoid_until_s.get(name, 0.0)
        ]
        if not usable:
            return None
        chosen = rank(self.host.encode(), usable, 1)[0]
        return chosen, local_peers[chosen]

    def may_have_followers(self, now_s: float) -> bool:
        """Return whether other hosts may be polling this one."""
        local_peers = [
            peer
            for peer in self.table.live_peers(now_s)
            if peer.beacon.data_centre == self.data_centre
        ]
        return len(local_peers) >= WATCHERS_PER_DATA_CENTRE

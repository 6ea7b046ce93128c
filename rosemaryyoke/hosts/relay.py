"""Distribution of the catalog from the hosts that read the store to the others."""

import time
from urllib.parse import parse_qs, urlsplit

import orjson
from absl import logging
from attrs import define
from result import Err

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.hosts.compression import compress, decompress
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.transfer import StateTransfer, encode_upstream
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.http1 import HttpClient, RequestMessage

CATALOG_PATH = "/catalog"
RESPONSE_MARGIN_S = 0.4  # beyond the time for which a poll waits
MS_PER_S = 1_000
MAX_POLL_AGE_S = 60.0
COMPRESSED_TYPE = (b"Content-Type", b"application/zlib")


def answer_catalog_poll(
    catalog: Catalog,
    message: RequestMessage,
    caller: CallerConnection,
) -> None:
    """Answer a long poll once the catalog differs from the client's generation."""
    query = parse_qs(urlsplit(message.target.decode("latin-1")).query)
    generation = query.get("generation", [""])[0]
    configuration = int(query.get("configuration", ["0"])[0])
    age_ms = int(query.get("age_ms", ["0"])[0])
    catalog.wait_changed(generation, age_ms / MS_PER_S)
    if not catalog.is_fresh():
        caller.send_error(503, "cut_off", "this host has no current view of the store")
        return
    body = encode_changes(catalog, generation, configuration)
    caller.send_response(200, b"OK", [COMPRESSED_TYPE], body)


def encode_changes(catalog: Catalog, generation: str, configuration: int) -> bytes:
    """Return what changed after a client's generation and configuration version.

    The client knows all upstreams of a generation of this process, so that only those
    that changed are sent. The text is compressed: a relay answers all hosts of its data
    centre at the same moment, over a slow link.
    """
    position = catalog.upstreams_position  # not newer than what follows
    current, upstreams = catalog.generation, catalog.upstreams
    value = {"generation": current, "position": position, "age_s": catalog.age_s()}
    value["era"] = catalog.upstreams_era
    if current != generation:
        names = catalog.changed_upstreams(generation)
        value["complete"] = names is None
        if names is None:
            names = set(upstreams)
        found = [upstreams[name] for name in names if name in upstreams]
        value["upstreams"] = [encode_upstream(item) for item in found]
        value["removed"] = [name for name in names if name not in upstreams]
        value["wanted"] = catalog.wanted
        value["declared"] = catalog.known_declarations()
        if catalog.configuration.version > configuration:
            value["configuration"] = catalog.configuration_source.decode()
    return compress(orjson.dumps(value))


def decode_changes(data: bytes) -> dict:
    """Decode what ``encode_changes`` returned; raise ``ValueError`` if invalid."""
    return orjson.loads(decompress(data))


@define(eq=False)
class CatalogRelay:
    """Polls a relay or a watcher, unless this host is a watcher itself."""

    roles: WatcherRoles
    catalog: Catalog
    transfer: StateTransfer
    client: HttpClient | None = None
    generation: str = ""

    def poll(self) -> bool:
        """Poll the preferred host; return whether it responded."""
        peers = self.roles.peers_to_poll(time.monotonic())
        if not self.catalog.is_loaded() or not peers:
            self.reset()
            return False
        return self.poll_peer(peers[0])

    def poll_peer(self, peer: HostState) -> bool:
        """Poll a host and apply its response; return whether it was of use.

        A host with upstreams of an older era than this one's is avoided for a while.
        """
        if self.client is None or self.client.address != peer.peer_address:
            self.reset()
            self.client = HttpClient(peer.peer_address)
        version = self.catalog.configuration.version
        target = f"{CATALOG_PATH}?generation={self.generation}&configuration={version}"
        age_s = min(self.catalog.age_s(), MAX_POLL_AGE_S)
        target += f"&age_ms={int(age_s * MS_PER_S)}"
        poll_s = self.catalog.timing.poll_s
        started_s = time.monotonic()
        reply = self.client.request("GET", target, timeout_s=poll_s + RESPONSE_MARGIN_S)
        # A host answers within the time of a poll; longer ones were held up.
        held_up_s = max(0.0, time.monotonic() - started_s - poll_s)
        if isinstance(reply, Err) or not reply.ok_value.ok:
            refused = not isinstance(reply, Err)
            logging.warning("polling host %s failed refused=%s", peer.host, refused)
            self.avoid(peer, refused)
            return False
        try:
            value = decode_changes(reply.ok_value.body)
        except ValueError as error:
            logging.warning("answer of host %s is malformed: %s", peer.host, error)
            self.avoid(peer, refused=True)
            return False
        if not self.transfer.apply(value, value["age_s"] + held_up_s, peer.host):
            self.avoid(peer, refused=True)
            return False
        self.generation = value["generation"]
        return True

    def avoid(self, peer: HostState, refused: bool) -> None:
        """Poll other hosts for a while."""
        self.roles.record_poll_failure(peer.host, refused, time.monotonic())
        self.reset()

    def reset(self) -> None:
        """Close the connection to the current watcher and drop its generation."""
        if self.client is not None:
            self.client.close()
        self.client = None
        self.generation = ""

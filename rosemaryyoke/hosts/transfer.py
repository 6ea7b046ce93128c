"""Transfer of state from another host while the store is unreachable."""

import random
import time

import orjson
from absl import logging
from attrs import define
from result import Err

from rosemaryyoke.catalog import Catalog, CatalogSource, Upstream, WantedWeights
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.http1 import Address, RequestMessage, send_request
from rosemaryyoke.objects.objects import StoredObject

STATE_PATH = "/state"
REQUEST_TIMEOUT_S = 1.0
JSON_TYPE = (b"Content-Type", b"application/json")


def encode_state(catalog: Catalog) -> bytes:
    """Encode the catalog as JSON for another host."""
    return orjson.dumps(
        {
            "configuration": catalog.configuration_source.decode(),
            "upstreams": [encode_upstream(i) for i in catalog.upstreams.values()],
            "wanted": catalog.wanted,
        }
    )


def encode_upstream(upstream: Upstream) -> dict:
    """Return an upstream as a JSON object."""
    return {
        "name": upstream.name,
        "service": upstream.service,
        "address": str(upstream.address),
        "data_centre": upstream.data_centre,
        "slots": upstream.slots,
        "draining": upstream.draining,
        "cold_s": upstream.cold_s,
        "weights": upstream.weights,
    }


def decode_upstream(value: dict) -> Upstream:
    """Return the upstream described by a JSON object."""
    return Upstream(**{**value, "address": Address.parse(value["address"])})


def answer_state(
    catalog: Catalog, message: RequestMessage, caller: CallerConnection
) -> None:
    """Answer another host's request for this host's state."""
    if message.target.decode("latin-1") != STATE_PATH or not catalog.is_loaded():
        caller.send_error(404, "unknown", "nothing is known here")
        return
    caller.send_response(200, b"OK", [JSON_TYPE], encode_state(catalog))


@define(eq=False)
class StateTransfer:
    """Fetches state from another host while the store is unreachable."""

    source: CatalogSource
    catalog: Catalog
    table: HostTable

    def fetch(self) -> None:
        """Fetch and apply a live host's state if this one cannot reach the store."""
        if self.catalog.is_fresh():
            return
        peers = self.table.live_peers(time.monotonic())
        answering = [peer for peer in peers if peer.beacon.store_reachable]
        chosen = answering or [peer for peer in peers if peer.beacon.configuration]
        if not chosen:
            return
        peer = random.choice(chosen)
        reply = send_request(
            peer.beacon.peer_address, "GET", STATE_PATH, timeout_s=REQUEST_TIMEOUT_S
        )
        if isinstance(reply, Err) or not reply.ok_value.ok:
            logging.warning("state transfer from host=%s failed", peer.beacon.host)
            return
        self.apply_state(reply.ok_value.body, bool(answering))

    def apply_state(self, body: bytes, current: bool) -> None:
        """Apply another host's state; ``current`` if that host reaches the store."""
        value = orjson.loads(body)
        stored = StoredObject("", 0, value["configuration"].encode())
        decoded = self.source.decode_configuration(stored)
        if isinstance(decoded, Err):
            logging.error(
                "configuration received from a host is invalid: %s", decoded.err_value
            )
            return
        self.catalog.update_configuration(decoded.ok_value, stored.body)
        if current:
            self.catalog.record_confirmation()
        for model, version in value["wanted"].items():
            self.catalog.update_wanted(WantedWeights(model, version))
        if current or not self.catalog.upstreams_loaded:
            upstreams = [decode_upstream(item) for item in value["upstreams"]]
            self.catalog.replace_upstreams({item.name: item for item in upstreams})

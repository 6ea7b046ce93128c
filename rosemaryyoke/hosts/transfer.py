"""State that a host without the store gets from another host."""

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

TARGET = "/state"
TIMEOUT_S = 1.0
JSON_TYPE = (b"Content-Type", b"application/json")


def encode_state(catalog: Catalog) -> bytes:
    """Return what a host knows, as another host reads it."""
    return orjson.dumps(
        {
            "configuration": catalog.configuration_source.decode(),
            "upstreams": [encode_upstream(i) for i in catalog.upstreams.values()],
            "wanted": catalog.wanted,
        }
    )


def encode_upstream(upstream: Upstream) -> dict:
    """Return an upstream as a document."""
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
    """Return the upstream of a document."""
    return Upstream(**{**value, "address": Address.parse(value["address"])})


def answer_state(
    catalog: Catalog, message: RequestMessage, caller: CallerConnection
) -> None:
    """Answer another host's question."""
    if message.target.decode("latin-1") != TARGET or not catalog.is_known():
        caller.send_error(404, "unknown", "nothing is known here")
        return
    caller.send_response(200, b"OK", [JSON_TYPE], encode_state(catalog))


@define(eq=False)
class StateTransfer:
    """Asks another host while the store does not answer this one."""

    source: CatalogSource
    catalog: Catalog
    table: HostTable

    def fetch(self) -> None:
        """Take in what a live host knows, if this one cannot ask the store."""
        if self.catalog.is_fresh():
            return
        peers = self.table.live(time.monotonic())
        answering = [peer for peer in peers if peer.beacon.store_answers]
        chosen = answering or [peer for peer in peers if peer.beacon.configuration]
        if not chosen:
            return
        peer = random.choice(chosen)
        reply = send_request(peer.beacon.peers, "GET", TARGET, timeout_s=TIMEOUT_S)
        if isinstance(reply, Err) or not reply.ok_value.ok:
            logging.warning("state not had from host=%s", peer.beacon.host)
            return
        self.take(reply.ok_value.body, bool(answering))

    def take(self, body: bytes, current: bool) -> None:
        """Take in another host's state; ``current`` tells that the store answers it."""
        value = orjson.loads(body)
        stored = StoredObject("", 0, value["configuration"].encode())
        decoded = self.source.decode_configuration(stored)
        if isinstance(decoded, Err):
            logging.error("a host's configuration: %s", decoded.err_value)
            return
        self.catalog.take_configuration(decoded.ok_value, stored.body)
        if current:
            self.catalog.confirm()
        for model, version in value["wanted"].items():
            self.catalog.take_wanted(WantedWeights(model, version))
        if current or not self.catalog.upstreams_seen:
            upstreams = [decode_upstream(item) for item in value["upstreams"]]
            self.catalog.take_upstreams({item.name: item for item in upstreams})

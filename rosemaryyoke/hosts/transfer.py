"""Transfer of state from another host that knows more of the store."""

import random
import time
from typing import Callable

import orjson
from absl import logging
from attrs import define, evolve, field, fields_dict
from result import Err

from rosemaryyoke.catalog import Catalog, CatalogSource, Upstream, WantedWeights
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.hosts.compression import compress, decompress
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.http1 import Address, RequestMessage, Response, send_request
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.objects.objects import StoredObject

STATE_PATH = "/state"
REQUEST_TIMEOUT_S = 0.6
# The store, or the host that this one polls, usually tells within milliseconds.
NEWER_CONFIGURATION_WAIT_S = 0.2
MAX_ASKED = 4  # hosts, of which some may have just started, too
# What operators write; the rest of a state without a position may be older than what
# the store tells.
OPERATORS_KEYS = ("era", "configuration", "wanted", "declared")
JSON_TYPE = (b"Content-Type", b"application/json")
# Earlier builds ignore both fields of requests, and send a whole text.
ACCEPTED_ENCODING = (b"Accept-Encoding", b"deflate")
ENCODING = (b"Content-Encoding", b"deflate")
KNOWN_CONFIGURATION = b"Known-Configuration"  # the version that the sender has


def encode_state(catalog: Catalog, known_configuration: int = 0) -> bytes:
    """Encode the catalog as JSON for another host.

    ``age_s`` is null if this host has no current view of the store, and
    ``configuration`` if the other host knows it, or a newer one.
    """
    is_known = catalog.configuration.version <= known_configuration
    source = None if is_known else catalog.configuration_source.decode()
    return orjson.dumps(
        {
            "era": catalog.upstreams_era,
            "position": catalog.upstreams_position,
            "configuration": source,
            "upstreams": [encode_upstream(i) for i in catalog.upstreams.values()],
            "wanted": catalog.wanted,
            "declared": catalog.known_declarations(),
            "age_s": catalog.age_s() if catalog.is_fresh() else None,
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
        "born_ms": upstream.born_ms,
        "written_era": upstream.written_era,
        "software": upstream.software,
    }


def decode_upstream(value: dict) -> Upstream:
    """Return the upstream described by a JSON object; unknown fields are ignored."""
    known = {key: value[key] for key in fields_dict(Upstream) if key in value}
    return Upstream(**{**known, "address": Address.parse(value["address"])})


def decode_upstreams(values: list[dict], host: str) -> dict[str, Upstream]:
    """Return upstreams by name; those that a host describes wrongly are left out."""
    upstreams = {}
    for value in values:
        try:
            upstream = decode_upstream(value)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            logging.warning(
                "upstream received from host=%s is malformed: %s", host, error
            )
            continue
        upstreams[upstream.name] = upstream
    return upstreams


def answer_state(
    catalog: Catalog, message: RequestMessage, caller: CallerConnection
) -> None:
    """Answer another host's request for this host's state."""
    if message.target.decode("latin-1") != STATE_PATH or not catalog.is_loaded():
        caller.send_error(404, "unknown", "nothing is known here")
        return
    known = find_header(message.headers, KNOWN_CONFIGURATION.lower()) or b"0"
    body, headers = encode_state(catalog, int(known)), [JSON_TYPE]
    if find_header(message.headers, b"accept-encoding") == ACCEPTED_ENCODING[1]:
        body, headers = compress(body), [JSON_TYPE, ENCODING]
    caller.send_response(200, b"OK", headers, body)


def decode_state(response: Response) -> dict:
    """Return the state in a response; raise ``ValueError`` if it is invalid."""
    if find_header(response.headers, b"content-encoding") == ENCODING[1]:
        response = evolve(response, body=decompress(response.body))
    return response.json()


@define(eq=False)
class StateTransfer:
    """Fetches state from another host.

    It does so while this host has no current view of the store, or if another host's
    configuration is newer: the host that this one polls may have lost the store without
    noticing. A host that has just started asks some hosts when weights were declared,
    which the store does not tell. ``behind_since_s`` is since when a newer
    configuration has been known, and ``asked`` are the hosts asked.
    """

    source: CatalogSource
    catalog: Catalog
    roles: WatcherRoles
    set_upstreams: Callable[[dict[str, Upstream], int, int | None], object]
    behind_since_s: float | None = None
    asked: set[str] = field(factory=set)

    def fetch(self) -> None:
        """Fetch and apply a live host's state if it knows more than this one."""
        now_s = time.monotonic()
        is_behind = self.is_behind(now_s)
        if is_behind:
            peer = self.choose_newer(now_s)
        elif not self.catalog.is_fresh():
            peer = self.choose_peer(now_s)
        else:
            peer = self.choose_to_ask(now_s)
        if peer is None:
            return
        self.behind_since_s = None
        self.fetch_from(peer)

    def fetch_from(self, peer: HostState) -> bool:
        """Fetch and apply the state of a host; return whether it answered.

        The time that the answer took counts toward the age of the state.
        """
        started_s = time.monotonic()
        known = self.catalog.configuration
        version = known.version if known is not None else 0
        reply = send_request(
            peer.peer_address,
            "GET",
            STATE_PATH,
            timeout_s=REQUEST_TIMEOUT_S,
            headers=[ACCEPTED_ENCODING, (KNOWN_CONFIGURATION, b"%d" % version)],
        )
        if isinstance(reply, Err) or not reply.ok_value.ok:
            logging.warning("state transfer from host=%s failed", peer.host)
            return False
        try:
            value = decode_state(reply.ok_value)
        except ValueError as error:
            logging.warning("state of host=%s is malformed: %s", peer.host, error)
            return False
        if self.catalog.follows_store() and value.get("position") is None:
            value = {key: value[key] for key in OPERATORS_KEYS if key in value}
        age_s = value.get("age_s")
        if age_s is not None:
            age_s += time.monotonic() - started_s
        return self.apply(value, age_s, peer.host)

    def is_behind(self, now_s: float) -> bool:
        """Return whether another host has had a newer configuration for a while."""
        if self.choose_newer(now_s) is None:
            self.behind_since_s = None
            return False
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        return now_s - self.behind_since_s >= NEWER_CONFIGURATION_WAIT_S

    def choose_newer(self, now_s: float) -> HostState | None:
        """Return a live host with a newer configuration than this one's."""
        known = self.catalog.configuration
        version = known.version if known is not None else 0
        live = [peer.beacon for peer in self.roles.table.live_peers(now_s)]
        newer = [state for state in live if state.configuration > version]
        return random.choice(newer) if newer else None

    def choose_to_ask(self, now_s: float) -> HostState | None:
        """Return a host that may know when weights were declared, if that is needed."""
        if len(self.asked) >= MAX_ASKED or not self.catalog.assumes_declarations():
            return None
        live = [peer.beacon for peer in self.roles.table.live_peers(now_s)]
        left = [state for state in live if state.ready and state.host not in self.asked]
        if not left:
            return None
        peer = random.choice(left)
        self.asked.add(peer.host)
        return peer

    def choose_peer(self, now_s: float) -> HostState | None:
        """Return a watcher, else a host with a newer configuration.

        Without a watcher, a transfer is of use only if the other host knows more.
        """
        watchers = self.roles.watchers(now_s)
        return random.choice(watchers) if watchers else self.choose_newer(now_s)

    def apply(self, value: dict, age_s: float | None, host: str = "") -> bool:
        """Apply another host's state, in which unchanged parts may be missing.

        ``age_s`` is how long ago the store confirmed that state, if it did lately.
        Unless the list of upstreams is complete, it has those that changed. Return
        whether the state is of no older era than this host's.
        """
        era = value.get("era", 0)
        self.catalog.eras.learn(era, host)
        source = value.get("configuration")
        if source is not None and not self.apply_configuration(source.encode(), host):
            return True
        declared = value.get("declared", {})
        for model, version in value.get("wanted", {}).items():
            ages = dict(declared.get(model, ()))
            wanted, is_assumed = WantedWeights(model, version), version not in ages
            version_age_s = ages.get(version, self.catalog.assumed_age_s())
            self.catalog.update_wanted(wanted, version_age_s, is_assumed)
            self.catalog.learn_declarations(model, ages.items())
        if era < self.catalog.upstreams_era:
            logging.warning("state of host=%s is of the older era %d", host, era)
            return False
        current = age_s is not None
        if "upstreams" in value and (current or not self.catalog.upstreams_loaded):
            is_complete = value.get("complete", True)
            known = {} if is_complete else dict(self.catalog.registered)
            for name in value.get("removed", ()):
                known.pop(name, None)
            known.update(decode_upstreams(value["upstreams"], host))
            self.set_upstreams(known, era, value.get("position"))
        elif "upstreams" not in value:  # the same as before, now at a later position
            self.catalog.advance_position(value.get("position"))
        if current:
            self.catalog.record_confirmation(age_s, host)
        return True

    def apply_configuration(self, source: bytes, host: str) -> bool:
        """Apply an encoded configuration; return whether it is valid."""
        decoded = self.source.decode_configuration(StoredObject("", 0, source))
        if isinstance(decoded, Err):
            logging.error(
                "configuration received from a host is invalid: %s", decoded.err_value
            )
            return False
        self.catalog.update_configuration(decoded.ok_value, source, host)
        return True

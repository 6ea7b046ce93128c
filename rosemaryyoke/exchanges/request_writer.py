"""Encode requests for upstreams, with instructions for their KV caches."""

import random
import time

from attrs import field, frozen

from rosemaryyoke.exchanges.exchange import Exchange
from rosemaryyoke.exchanges.messages import ForwardingOptions, HeaderCodec
from rosemaryyoke.exchanges.urgency import Urgency
from rosemaryyoke.fleet import Fleet, Placement, StoreEstimate
from rosemaryyoke.http1 import Address
from rosemaryyoke.http1.messages import encode_head

MIN_STORED_TOKENS = 1  # recomputing any token costs more than a store lookup
BODILESS_METHODS = (b"GET", b"HEAD", b"DELETE")


@frozen
class RequestWriter:
    """Encodes requests for the chosen upstreams."""

    fleet: Fleet
    codec: HeaderCodec
    urgency: Urgency = field(factory=Urgency)

    def options(
        self, exchange: Exchange, placement: Placement, saves_to_store: bool
    ) -> ForwardingOptions:
        """Return what the head of the request tells the upstream.

        The upstream must serve the version that the salt of the placement was made
        for. What is known of the upstream may have changed since then.
        """
        metadata, state = exchange.metadata, placement.state
        store = self.cache_store(exchange, placement)
        return ForwardingOptions(
            instance=state.upstream.name,
            deadline_s=exchange.deadline_s - time.monotonic(),
            account=exchange.account.name if exchange.account else None,
            strip_api_key=bool(exchange.configuration.accounts),
            weights_version=placement.weights,
            priority=self.priority(exchange) if state.traits is not None else None,
            cache_salt=placement.salt or None,
            fetch_from=self.fetch_source(exchange, placement, store),
            save_to=store.address if store is not None and saves_to_store else None,
            last_event_id=exchange.resumed_from or metadata.last_event_id,
        )

    def encode(self, exchange: Exchange, options: ForwardingOptions) -> bytes:
        """Encode the head of the request for an upstream."""
        message = exchange.message
        headers = self.codec.forward_headers(message.headers, options)
        if exchange.body or message.method not in BODILESS_METHODS:
            headers.append((b"Content-Length", b"%d" % len(exchange.body)))
        first_line = b"%s %s HTTP/1.1" % (message.method, message.target)
        return encode_head(first_line, headers)

    def priority(self, exchange: Exchange) -> int:
        """Return the priority of a request for engines."""
        return self.urgency.rank(
            exchange.configuration, exchange.account, exchange.route
        )

    def saves_to_store(self, exchange: Exchange, placement: Placement) -> bool:
        """Return whether the engine should save the prompt's KV cache to the store."""
        store = self.cache_store(exchange, placement)
        if store is None:
            return False
        now_s = time.monotonic()
        with self.fleet.lock:
            return not all(store.holds(part, now_s) for part in placement.parts[:-1])

    def fetch_source(
        self, exchange: Exchange, placement: Placement, store: StoreEstimate | None
    ) -> Address | None:
        """Return an engine that holds more of the prompt, else the prompt's store.

        Engines are preferred because their links are faster than those of stores. What
        an engine of other weights holds under this salt may have been made by these.
        """
        shared = exchange.metadata.shared_tokens
        fallback = store.address if store is not None else None
        if shared < MIN_STORED_TOKENS or placement.hit_tokens >= shared:
            return fallback
        own, now_s = placement.state, time.monotonic()
        with self.fleet.lock:
            holders = [
                state
                for state in self.fleet.states_of_service(own.upstream.service)
                if state is not own
                and state.usable(now_s)
                and not state.loading(now_s)
                and state.weights.get(exchange.metadata.model) == placement.weights
                and state.cache_estimate.cached_prefix_tokens(placement.parts[:-1])
                >= shared
            ]
        return random.choice(holders).upstream.address if holders else fallback

    def cache_store(
        self, exchange: Exchange, placement: Placement
    ) -> StoreEstimate | None:
        """Return the prompt's KV cache store, if its shared parts are long enough.

        Nothing is stored for an unknown version, since no other request could use it.
        """
        if not placement.salt or exchange.metadata.shared_tokens < MIN_STORED_TOKENS:
            return None
        if placement.weights is None:
            return None
        with self.fleet.lock:
            return self.fleet.stores.store_for_prompt(placement.parts[:-1])

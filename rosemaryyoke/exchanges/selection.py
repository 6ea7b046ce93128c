"""Select the upstream to which an exchange is sent next."""

import math
import random
import time

from attrs import define, field
from result import Err, Result

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.exchanges.attempt import HANDOVER_S
from rosemaryyoke.exchanges.error_responses import (
    no_upstream_error,
    quarantine_error,
    timeout_error,
    version_gone_error,
)
from rosemaryyoke.exchanges.exchange import (
    Exchange,
    RequestRejected,
    cache_scope,
)
from rosemaryyoke.exchanges.urgency import Urgency
from rosemaryyoke.fleet import (
    Chooser,
    Fleet,
    NoUpstream,
    Placement,
    PlacementRequest,
    RetryBudget,
    UpstreamState,
)
from rosemaryyoke.origins import origin_key

MIN_ATTEMPT_S = 0.3  # with less time left, another upstream could not respond
MAX_SENDS = 4  # attempts per exchange, including refused ones
WEIGHTS_START_MARGIN_S = 1.5  # delay between placement and the start of a request


@define(eq=False)
class UpstreamSelector:
    """Selects the upstreams of one host's exchanges."""

    data_centre: str
    catalog: Catalog
    fleet: Fleet
    budget: RetryBudget
    weights_bound_s: float
    chooser: Chooser = field(factory=Chooser)
    urgency: Urgency = field(factory=Urgency)

    def choose_upstream(self, exchange: Exchange) -> Placement:
        """Choose an upstream for the exchange; raise ``RequestRejected``."""
        now_s = time.monotonic()
        if now_s >= exchange.response_deadline_s:
            raise RequestRejected(timeout_error(exchange))
        self.check_quarantine(exchange)
        self.check_origin(exchange)
        # The bound on queues is for admission: a request that may have run cannot be
        # rejected as not run any more, so that a long queue is better than none.
        # A stream that can go on at some of the upstreams only is bound to these.
        max_wait_s = self.max_queue_wait_s(exchange)
        if exchange.is_admitted or self.is_restricted(exchange):
            max_wait_s = math.inf
        request = self.placement_request(
            exchange, now_s, max_wait_s, self.fleet.probe_share()
        )
        chosen = self.choose(exchange, request, now_s)
        if isinstance(chosen, Err):
            raise RequestRejected(no_upstream_error(exchange, chosen.err_value))
        return chosen.ok_value

    def max_queue_wait_s(self, exchange: Exchange) -> float:
        """Return the longest queue wait that a new request may join."""
        return self.urgency.max_queue_wait_s(exchange.configuration, exchange.route)

    def check_quarantine(self, exchange: Exchange) -> None:
        """Raise ``RequestRejected`` if the request may not be sent to engines."""
        refusal = self.fleet.quarantine.refuse(
            exchange.shared_keys, lambda: exchange.fingerprint
        )
        if refusal is not None:
            raise RequestRejected(quarantine_error(exchange, refusal))

    def check_origin(self, exchange: Exchange) -> None:
        """Raise ``RequestRejected`` if a stream has no upstream to go on at."""
        if exchange.origin is None:
            return
        with self.fleet.lock:
            states = self.with_origin(exchange)
        if all(state.upstream.draining for state in states):
            raise RequestRejected(version_gone_error(exchange))

    def choose(
        self, exchange: Exchange, request: PlacementRequest, now_s: float
    ) -> Result[Placement, NoUpstream]:
        """Return the best upstream that was not tried, or why there is none.

        The request counts against the upstream's limit.
        """
        with self.fleet.lock:
            candidates = self.with_usable_weights(
                exchange, self.candidates(exchange), now_s
            )
            chosen = self.chooser.choose(
                request, candidates, exchange.excluded_upstreams, now_s
            )
            if not isinstance(chosen, Err):
                chosen.ok_value.state.notices.limit.consume(now_s)
                chosen.ok_value.state.room.place(now_s)
            return chosen

    def reserve_alternative(self, exchange: Exchange) -> bool:
        """Reserve another upstream for a request whose upstream makes no progress.

        Return whether there is one, so that the request need not stay where it is.
        """
        now_s = time.monotonic()
        may_repeat = exchange.run_count + 1 < exchange.route.max_attempts
        in_time = now_s < exchange.response_deadline_s - MIN_ATTEMPT_S
        if not (may_repeat and in_time and exchange.is_resumable):
            return False
        if not self.may_send_again(exchange, now_s):
            return False
        if self.fleet.quarantine.is_suspect(exchange.quarantine_keys):
            return False
        max_wait_s = min(self.max_queue_wait_s(exchange), HANDOVER_S)
        request = self.placement_request(exchange, now_s, max_wait_s, probe_share=0.0)
        chosen = self.choose(exchange, request, now_s)
        if isinstance(chosen, Err) or not is_healthy(chosen.ok_value.state, now_s):
            return False
        if not self.budget.try_retry(exchange.service, now_s):
            return False
        exchange.reserved = chosen.ok_value
        return True

    def may_send_again(self, exchange: Exchange, now_s: float) -> bool:
        """Return whether sends and time are left for another attempt."""
        return exchange.send_count < MAX_SENDS and now_s < exchange.response_deadline_s

    def placement_request(
        self, exchange: Exchange, now_s: float, max_wait_s: float, probe_share: float
    ) -> PlacementRequest:
        """Return the placement request for an exchange."""
        wanted = self.catalog.wanted.get(exchange.metadata.model, 0)
        return PlacementRequest(
            exchange.metadata,
            cache_scope(exchange.account),
            len(exchange.body),
            self.data_centre,
            exchange.response_deadline_s - now_s,
            wanted,
            self.fleet.stores,
            max_wait_s,
            probe_share,
        )

    def candidates(self, exchange: Exchange) -> list[UpstreamState]:
        """Return the upstreams of a target, drawn at random by the route's weights.

        A stream goes on at upstreams of the software version that began it.
        """
        if exchange.origin is not None:
            return self.with_origin(exchange)
        targets = exchange.route.targets
        weights = [target.weight for target in targets]
        if len(targets) == 1 or sum(weights) <= 0:
            return self.fleet.states_of_service(targets[0].service)
        target = random.choices(targets, weights)[0]
        return self.fleet.states_of_service(target.service)

    def with_origin(self, exchange: Exchange) -> list[UpstreamState]:
        """Return the upstreams at which a stream may go on."""
        return [
            state
            for state in self.states_of_services(exchange)
            if upstream_origin(state) == exchange.origin
        ]

    def is_restricted(self, exchange: Exchange) -> bool:
        """Return whether a stream may go on at some of the route's upstreams only."""
        if exchange.origin is None:
            return False
        with self.fleet.lock:
            states = self.states_of_services(exchange)
        return any(upstream_origin(state) != exchange.origin for state in states)

    def states_of_services(self, exchange: Exchange) -> list[UpstreamState]:
        """Return the upstreams of all services of the route."""
        return [
            state
            for service in exchange.services
            for state in self.fleet.states_of_service(service)
        ]

    def with_usable_weights(
        self, exchange: Exchange, candidates: list[UpstreamState], now_s: float
    ) -> list[UpstreamState]:
        """Return the upstreams whose model weights may still be used."""
        model = exchange.metadata.model
        bound_s = self.weights_bound_s - WEIGHTS_START_MARGIN_S
        return [
            state
            for state in candidates
            if model not in state.weights
            or self.catalog.outdated_s(model, state.weights[model], now_s) < bound_s
        ]


def upstream_origin(state: UpstreamState) -> int:
    """Return the origin of streams that begin at an upstream."""
    return origin_key(state.upstream.software)


def is_healthy(state: UpstreamState, now_s: float) -> bool:
    """Return whether an upstream works, and has not asked for a pause."""
    return (
        state.usable(now_s)
        and not state.notices.paused(now_s)
        and not state.considered_silent(now_s)
    )

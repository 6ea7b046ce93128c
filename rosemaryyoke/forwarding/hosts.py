"""Choose the host by way of which requests are forwarded."""

import random
import time
from typing import Collection

from attrs import define, field

from rosemaryyoke.catalog import Upstream
from rosemaryyoke.fleet import ActiveRequest, UpstreamState, service_key
from rosemaryyoke.hosts.host_state import HostState
from rosemaryyoke.hosts.table import HostTable, peers_in_data_centre

CHOICES = 2  # compared by the requests that this host has under way there


@define(eq=False)
class ForwardingHosts:
    """The hosts that may forward requests of this one, and their recent health."""

    table: HostTable
    states: dict[str, UpstreamState] = field(factory=dict)

    def choose(
        self, services: Collection[str], configuration: int, excluded: Collection[str]
    ) -> UpstreamState | None:
        """Return a host that reaches some services, or ``None`` if there is none.

        Hosts that know the request's configuration are preferred; others may have
        applied it since their last beacon.
        """
        now_s = time.monotonic()
        keys = {service_key(service) for service in services}
        peers = self.table.live_peers(now_s)
        usable = [
            peer
            for peer in peers
            if is_usable(peer.beacon, keys)
            and peer.beacon.host not in excluded
            and now_s >= self.state_of(peer.beacon).suspect_until_s
        ]
        informed = [
            peer for peer in usable if peer.beacon.configuration >= configuration
        ]
        usable = informed or usable
        near = peers_in_data_centre(usable, self.table.data_centre)
        cut = [peer for peer in peers if keys & peer.beacon.unreachable]
        # A few hosts would not bear what all others of their data centre forward.
        cut_near = len(peers_in_data_centre(cut, self.table.data_centre)) + 1
        states = [
            self.state_of(peer.beacon)
            for peer in (near if len(near) >= cut_near else usable)
        ]
        sample = random.sample(states, min(CHOICES, len(states)))
        return min(sample, key=lambda state: len(state.under_way), default=None)

    def state_of(self, host: HostState) -> UpstreamState:
        """Return the state of a host, a new one for each of its addresses."""
        state = self.states.get(host.host)
        if state is None or state.upstream.address != host.peer_address:
            upstream = Upstream(
                host.host, "", host.peer_address, host.data_centre, slots=0
            )
            state = self.states[host.host] = UpstreamState(upstream)
        return state

    def is_live(self, state: UpstreamState) -> bool:
        """Return whether a host was heard of lately."""
        live = self.table.live_peers(time.monotonic())
        return any(peer.beacon.host == state.upstream.name for peer in live)

    def begin(self, state: UpstreamState) -> ActiveRequest:
        """Count a request that is forwarded to a host."""
        active = ActiveRequest(0, 0, time.monotonic())
        state.under_way.add(active)
        return active

    def end(self, state: UpstreamState, active: ActiveRequest) -> None:
        """Count the end of a request."""
        state.under_way.discard(active)


def is_usable(host: HostState, keys: set[int]) -> bool:
    """Return whether a host serves callers, and reaches the services of some keys."""
    return host.ready and not host.leaving and not keys & host.unreachable

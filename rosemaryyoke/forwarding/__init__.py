"""Forwarding of requests by way of other hosts, while this one reaches no upstream."""

from rosemaryyoke.forwarding.envelope import Envelope, MalformedEnvelope
from rosemaryyoke.forwarding.reachability import Reachability

__all__ = ["Envelope", "MalformedEnvelope", "Reachability"]

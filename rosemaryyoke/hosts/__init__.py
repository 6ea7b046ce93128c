"""Peer discovery and liveness of hosts by gossip, without a central service."""

from rosemaryyoke.hosts.beacons import BeaconService
from rosemaryyoke.hosts.codec import Beacon
from rosemaryyoke.hosts.table import HostTable

__all__ = ["Beacon", "BeaconService", "HostTable"]

"""Hosts that know of one another, without a service to ask."""

from rosemaryyoke.hosts.beacons import BeaconService
from rosemaryyoke.hosts.codec import Beacon
from rosemaryyoke.hosts.table import HostTable

__all__ = ["Beacon", "BeaconService", "HostTable"]

"""Membership of hosts: failure detection and propagation over peer links."""

from rosemaryyoke.membership.codec import UpstreamNotice
from rosemaryyoke.membership.links import Links
from rosemaryyoke.membership.members import Members
from rosemaryyoke.membership.overlay import link_targets
from rosemaryyoke.membership.table import ALIVE, FAILED, SUSPECT, Member, MemberTable

__all__ = [
    "ALIVE",
    "FAILED",
    "Links",
    "Member",
    "MemberTable",
    "Members",
    "SUSPECT",
    "UpstreamNotice",
    "link_targets",
]

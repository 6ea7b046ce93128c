"""The hosts of the system and how they know one another."""

from rosemaryyoke.membership.members import Member, Members

__all__ = ["Member", "Members"]

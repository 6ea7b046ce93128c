"""Typed messages of a feed: all objects of a kind, then their changes."""

from typing import Protocol

from attrs import field, frozen
from result import Result

from rosemaryyoke.objects.objects import StoredObject


@frozen
class Listing:
    """All objects of a kind as of a position of the store's history."""

    position: int
    objects: list[StoredObject] = field(factory=list)


@frozen
class FeedChange:
    """An object that changed or was removed."""

    object: StoredObject
    removed: bool = False


@frozen
class FeedChanges:
    """What changed since a position, and the position to go on from."""

    position: int
    changes: list[FeedChange] = field(factory=list)


@frozen
class FeedError:
    """A call without a result; ``history_gone`` asks for a new listing."""

    message: str
    history_gone: bool = False


class ObjectFeed(Protocol):
    """Lists and watches objects by kind."""

    def list(self, kind: str) -> Result[Listing, FeedError]:
        """Return all objects of a kind."""

    def watch(
        self, kind: str, position: int, wait_s: float
    ) -> Result[FeedChanges, FeedError]:
        """Wait for changes of a kind after a position, ``wait_s`` seconds at most."""

"""Interface and message types for listing and watching the objects of a kind."""

from typing import Protocol

from attrs import field, frozen
from result import Result

from rosemaryyoke.objects.objects import StoredObject


@frozen
class Listing:
    """All objects of a kind at one position in the store's history."""

    position: int
    objects: list[StoredObject] = field(factory=list)


@frozen
class FeedChange:
    """An object that was changed or removed."""

    object: StoredObject
    removed: bool = False


@frozen
class FeedChanges:
    """Changes since a position, and the position for the next watch."""

    position: int
    changes: list[FeedChange] = field(factory=list)


@frozen
class FeedError:
    """A failed call.

    ``history_gone`` is set if the store no longer has the requested history, so that
    the caller must list the objects again.
    """

    message: str
    history_gone: bool = False


class ObjectFeed(Protocol):
    """Lists and watches objects by kind."""

    def list(self, kind: str) -> Result[Listing, FeedError]:
        """Return all objects of a kind."""

    def watch(
        self, kind: str, position: int, wait_s: float
    ) -> Result[FeedChanges, FeedError]:
        """Long-poll for changes of a kind after a position, for up to ``wait_s``."""

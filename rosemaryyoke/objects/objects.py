"""Interface and message types of the platform's object API."""

from typing import Protocol

from attrs import field, frozen
from result import Result

LIVE = "live"
LEAVING = "leaving"


@frozen
class StoredObject:
    """A stored object with its version."""

    name: str
    version: int
    body: bytes


@frozen
class Change:
    """Name and version of an object that a listing or a watch reports."""

    name: str
    version: int


@frozen
class Changes:
    """Result of a watch: the changes and the position for the next watch."""

    position: int
    changes: list[Change] = field(factory=list)


@frozen
class ListedHost:
    """Entry of the platform's host list, which lags behind the actual state."""

    name: str
    address: str
    data_centre: str
    state: str
    peer_address: str = ""


@frozen
class PlatformError:
    """A failed call to the object API.

    ``conflict`` is set if the expected version did not match, so nothing was changed.
    ``maybe_applied`` is set if the change may have taken effect despite the error.
    """

    message: str
    conflict: bool = False
    maybe_applied: bool = False


class ObjectApi(Protocol):
    """The platform's object API, with one method per call."""

    def get(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if it does not exist."""

    def put(
        self, name: str, body: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version matches; version 0 creates the object."""

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformError]:
        """Delete an object if its version matches."""

    def list_objects(self, prefix: str) -> Result[list[Change], PlatformError]:
        """Return the names and versions of the objects under a prefix."""

    def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[Changes, PlatformError]:
        """Long-poll for changes under a prefix after a history position."""

    def hosts(self) -> Result[list[ListedHost], PlatformError]:
        """Return the live and leaving hosts; the list lags behind the actual state."""

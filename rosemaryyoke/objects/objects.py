"""Typed messages of the platform's object API."""

from typing import Protocol

from attrs import field, frozen
from result import Result

LIVE = "live"
LEAVING = "leaving"


@frozen
class StoredObject:
    """An object and its version."""

    name: str
    version: int
    body: bytes


@frozen
class Change:
    """An object that changed, as a watch tells."""

    name: str
    version: int


@frozen
class Changes:
    """What a watch returns: changes, and the position to go on from."""

    position: int
    changes: list[Change] = field(factory=list)


@frozen
class ListedHost:
    """An entry of the platform's lagging list of hosts."""

    name: str
    address: str
    data_centre: str
    state: str
    peer_address: str = ""


@frozen
class PlatformError:
    """A call that did not do what was asked.

    ``conflict`` tells that the expected version did not hold, so nothing changed.
    ``maybe_done`` tells that the change may have taken effect all the same.
    """

    message: str
    conflict: bool = False
    maybe_applied: bool = False


class ObjectApi(Protocol):
    """The platform's object API, one method for each call."""

    def get(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or none where there is none."""

    def put(
        self, name: str, body: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version is the expected one; 0 creates it."""

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformError]:
        """Delete an object if its version is the expected one."""

    def list_objects(self, prefix: str) -> Result[list[Change], PlatformError]:
        """Return the names and versions of the objects under a prefix."""

    def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[Changes, PlatformError]:
        """Wait for changes under a prefix after a position."""

    def hosts(self) -> Result[list[ListedHost], PlatformError]:
        """Return the list of live and leaving hosts, which lags."""

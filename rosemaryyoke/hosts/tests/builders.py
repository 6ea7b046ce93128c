"""Builders for tests of what hosts keep in the store."""

from attrs import define, field
from result import Err, Ok

from rosemaryyoke.objects import PlatformError
from rosemaryyoke.objects.feed import FeedError, Listing
from rosemaryyoke.objects.objects import StoredObject


@define
class ListedStore:
    """Objects of one kind, with versions; it may be down."""

    kind: str
    objects: dict = field(factory=dict)
    version: int = 0
    down: bool = False
    calls: int = 0

    def list(self, kind):
        """Return all objects."""
        self.calls += 1
        if self.down:
            return Err(FeedError("down"))
        assert kind == self.kind
        return Ok(Listing(0, list(self.objects.values())))

    def get(self, name):
        """Return an object."""
        self.calls += 1
        if self.down:
            return Err(PlatformError("down"))
        return Ok(self.objects.get(name))

    def put(self, name, body, expected_version):
        """Write an object if its version matches."""
        self.calls += 1
        if self.down:
            return Err(PlatformError("down"))
        known = self.objects.get(name)
        if (known.version if known else 0) != expected_version:
            return Err(PlatformError("conflict", conflict=True))
        self.version += 1
        self.objects[name] = StoredObject(name, self.version, body)
        return Ok(self.version)

    def delete(self, name, expected_version):
        """Remove an object."""
        self.calls += 1
        assert self.objects.pop(name).version == expected_version
        return Ok(None)

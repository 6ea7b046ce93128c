"""An object API that reports whether the store answers."""

from typing import Callable

from attrs import frozen
from result import Err, Result

from rosemaryyoke.objects.objects import ObjectApi, PlatformError, StoredObject


@frozen
class ReportingObjectApi:
    """Passes calls on and reports whether the store answered each of them.

    A conflict is an answer.
    """

    api: ObjectApi
    on_call: Callable[[bool], None]

    def get(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if it does not exist."""
        return self._report(self.api.get(name))

    def put(
        self, name: str, body: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version matches; version 0 creates the object."""
        return self._report(self.api.put(name, body, expected_version))

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformError]:
        """Delete an object if its version matches."""
        return self._report(self.api.delete(name, expected_version))

    def _report(self, outcome: Result) -> Result:
        self.on_call(not isinstance(outcome, Err) or outcome.err_value.conflict)
        return outcome

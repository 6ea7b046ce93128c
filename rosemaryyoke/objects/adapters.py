"""Implementations of the object API, selected by name in the settings."""

from typing import Callable
from urllib.parse import quote

from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.core import Registry
from rosemaryyoke.objects.objects import (
    Change,
    Changes,
    ListedHost,
    ObjectApi,
    PlatformError,
    StoredObject,
)
from rosemaryyoke.wire import HttpRequest, HttpResponse, TransportError, send

PLATFORM_TIMEOUT_S = 1.0
WATCH_TIMEOUT_MARGIN_S = 2.0
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412

platform_adapters: Registry[Callable[[str], ObjectApi]] = Registry("platform adapter")


@platform_adapters.register("http")
@frozen
class HttpObjectApi:
    """Object API over HTTP, with versions in ETag and preconditions in If-Match."""

    address: str
    timeout_s: float = PLATFORM_TIMEOUT_S

    def get(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if it does not exist."""
        answer = self._send("GET", f"/objects/{quote(name)}")
        if isinstance(answer, Err):
            return answer
        reply = answer.ok_value
        if reply.status == HTTP_NOT_FOUND:
            return Ok(None)
        if not reply.ok:
            return Err(_status_error(reply))
        return Ok(StoredObject(name, int(reply.headers["etag"]), reply.body))

    def put(
        self, name: str, body: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version matches; version 0 creates the object."""
        headers = _precondition_headers(expected_version)
        answer = self._send("PUT", f"/objects/{quote(name)}", headers, body)
        if isinstance(answer, Err):
            return answer
        if not answer.ok_value.ok:
            return Err(_status_error(answer.ok_value))
        return Ok(int(answer.ok_value.headers["etag"]))

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformError]:
        """Delete an object if its version matches."""
        headers = _precondition_headers(expected_version)
        answer = self._send("DELETE", f"/objects/{quote(name)}", headers)
        if isinstance(answer, Err):
            return answer
        if not answer.ok_value.ok:
            return Err(_status_error(answer.ok_value))
        return Ok(None)

    def list_objects(self, prefix: str) -> Result[list[Change], PlatformError]:
        """Return the names and versions of the objects under a prefix."""
        answer = self._send("GET", f"/objects?prefix={quote(prefix, safe='')}")
        return answer.and_then(_parse_objects)

    def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[Changes, PlatformError]:
        """Long-poll for changes under a prefix after a history position."""
        query = f"prefix={quote(prefix, safe='')}&after={position}&wait={wait_s}"
        answer = self._send(
            "GET", f"/watch?{query}", timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S
        )
        return answer.and_then(_parse_changes)

    def hosts(self) -> Result[list[ListedHost], PlatformError]:
        """Return the live and leaving hosts; the list lags behind the actual state."""
        return self._send("GET", "/hosts").and_then(_parse_hosts)

    def _send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float = 0.0,
    ) -> Result[HttpResponse, PlatformError]:
        call = HttpRequest(
            method,
            f"http://{self.address}{path}",
            headers or {},
            body,
            timeout_s or self.timeout_s,
        )
        return send(call).map_err(_transport_error)


def _precondition_headers(expected_version: int) -> dict[str, str]:
    if expected_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": str(expected_version)}


def _transport_error(error: TransportError) -> PlatformError:
    return PlatformError(error.message, maybe_applied=error.sent)


def _status_error(answer: HttpResponse) -> PlatformError:
    conflict = answer.status in (HTTP_PRECONDITION_FAILED, HTTP_NOT_FOUND)
    maybe_applied = answer.status >= 500
    return PlatformError(f"status {answer.status}", conflict, maybe_applied)


def _parse_objects(answer: HttpResponse) -> Result[list[Change], PlatformError]:
    if not answer.ok:
        return Err(_status_error(answer))
    return Ok([Change(**item) for item in answer.json()["objects"]])


def _parse_changes(answer: HttpResponse) -> Result[Changes, PlatformError]:
    if not answer.ok:
        return Err(_status_error(answer))
    value = answer.json()
    changes = [Change(**item) for item in value["changes"]]
    return Ok(Changes(value["position"], changes))


def _parse_hosts(answer: HttpResponse) -> Result[list[ListedHost], PlatformError]:
    if not answer.ok:
        return Err(_status_error(answer))
    return Ok([ListedHost(**item) for item in answer.json()["hosts"]])

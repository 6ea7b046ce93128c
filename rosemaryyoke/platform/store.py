"""Client for the platform's metadata store."""

import threading
from urllib.parse import quote

import orjson
from attrs import define, field
from result import Err, Ok, Result

from rosemaryyoke.http1 import Address, HttpClient, RequestError, Response
from rosemaryyoke.objects.feed import (
    FeedChange,
    FeedChanges,
    FeedError,
    Listing,
)
from rosemaryyoke.objects.objects import PlatformError, StoredObject

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_MARGIN_S = 1.0  # a slow store takes several hundred milliseconds
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
REFUSAL_STATUSES = frozenset({429, 503})
MAX_PAGES = 1_000
MS_PER_S = 1_000


@define(eq=False)
class PlatformStore:
    """Store of objects by kind and name, which the object API names ``kind/name``.

    The ``revision`` of an object on the wire is its version in the object API.
    """

    address: Address
    local: threading.local = field(factory=threading.local)

    def get(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if it does not exist."""
        reply = self._call("GET", f"/objects/{quote(name)}")
        if isinstance(reply, Err):
            return Err(_transport_error(reply.err_value))
        if reply.ok_value.status == HTTP_NOT_FOUND:
            return Ok(None)
        if not reply.ok_value.ok:
            return Err(_status_error(reply.ok_value))
        return _parse_object(reply.ok_value).map_err(PlatformError)

    def put(
        self, name: str, body: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version matches; version 0 creates the object."""
        kind, _, own_name = name.partition("/")
        metadata: dict[str, object] = {"name": own_name}
        method, target = "POST", f"/objects/{quote(kind)}"
        if expected_version:
            metadata["revision"] = expected_version
            method, target = "PUT", f"/objects/{quote(name)}"
        document = {"metadata": metadata, "spec": orjson.loads(body)}
        reply = self._call(method, target, orjson.dumps(document))
        if isinstance(reply, Err):
            return Err(_transport_error(reply.err_value))
        if not reply.ok_value.ok:
            return Err(_status_error(reply.ok_value))
        return _parse_object(reply.ok_value).map(_version).map_err(_maybe_applied_error)

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformError]:
        """Delete an object if its version matches."""
        target = f"/objects/{quote(name)}?revision={expected_version}"
        reply = self._call("DELETE", target)
        if isinstance(reply, Err):
            return Err(_transport_error(reply.err_value))
        if not reply.ok_value.ok:
            return Err(_status_error(reply.ok_value))
        return Ok(None)

    def list(self, kind: str) -> Result[Listing, FeedError]:
        """Return all objects of a kind, fetched page by page.

        The listing has the position of its first page, so that a watch from there
        reports changes made while later pages were fetched.
        """
        objects: list[StoredObject] = []
        position, after = None, ""
        for _ in range(MAX_PAGES):
            reply = self._call("GET", f"/objects/{quote(kind)}{after}")
            page = _parse_page(reply)
            if isinstance(page, Err):
                return page
            value = page.ok_value
            try:
                objects.extend(_parse_item(item) for item in value["items"])
                position = value["storeRevision"] if position is None else position
            except (KeyError, TypeError) as error:
                return Err(FeedError(f"malformed listing: {error!r}"))
            if not value.get("hasMore"):
                return Ok(Listing(position, objects))
            after = f"?after={quote(objects[-1].name)}"
        return Err(FeedError("listing exceeds the page limit"))

    def watch(
        self, kind: str, position: int, wait_s: float
    ) -> Result[FeedChanges, FeedError]:
        """Long-poll for changes of a kind after a position, for up to ``wait_s``."""
        wait_ms = int(wait_s * MS_PER_S)
        target = f"/objects/{quote(kind)}?watch={position}&waitMs={wait_ms}"
        page = _parse_page(
            self._call("GET", target, timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S)
        )
        if isinstance(page, Err):
            return page
        try:
            changes = [
                FeedChange(_parse_item(event["object"]), bool(event.get("deleted")))
                for event in page.ok_value["events"]
            ]
            return Ok(FeedChanges(page.ok_value["storeRevision"], changes))
        except (KeyError, TypeError) as error:
            return Err(FeedError(f"malformed watch response: {error!r}"))

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[Response, RequestError]:
        caller = getattr(self.local, "caller", None)
        if caller is None:
            caller = self.local.caller = HttpClient(self.address)
        return caller.request(method, target, body, timeout_s)


def _parse_item(item: dict) -> StoredObject:
    metadata = item["metadata"]
    spec = orjson.dumps(item.get("spec"))
    return StoredObject(metadata["name"], metadata["revision"], spec)


def _parse_object(reply: Response) -> Result[StoredObject, str]:
    try:
        return Ok(_parse_item(reply.json()))
    except (ValueError, KeyError, TypeError) as error:
        return Err(f"malformed object: {error!r}")


def _version(stored: StoredObject) -> int:
    return stored.version


def _maybe_applied_error(message: str) -> PlatformError:
    return PlatformError(message, maybe_applied=True)


def _transport_error(error: RequestError) -> PlatformError:
    return PlatformError(error.message, maybe_applied=error.sent)


def _status_error(reply: Response) -> PlatformError:
    conflict = reply.status in (HTTP_CONFLICT, HTTP_NOT_FOUND)
    maybe_applied = reply.status >= 500 and reply.status not in REFUSAL_STATUSES
    return PlatformError(f"status {reply.status}", conflict, maybe_applied)


def _parse_page(reply: Result[Response, RequestError]) -> Result[dict, FeedError]:
    if isinstance(reply, Err):
        return Err(FeedError(reply.err_value.message))
    answer = reply.ok_value
    if answer.status == HTTP_GONE:
        return Err(
            FeedError("requested history is no longer available", history_gone=True)
        )
    if not answer.ok:
        return Err(FeedError(f"status {answer.status}"))
    try:
        value = answer.json()
    except ValueError as error:
        return Err(FeedError(f"malformed response: {error}"))
    if not isinstance(value, dict):
        return Err(FeedError("malformed response: not a JSON object"))
    return Ok(value)

"""Client for the platform's metadata store."""

import threading
from urllib.parse import quote

import orjson
from absl import logging
from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.http1 import Address, HttpClient, RequestError, Response
from rosemaryyoke.http1.lenient_json import encode_json
from rosemaryyoke.objects.eras import EraRecord, era_of, make_version, revision_of
from rosemaryyoke.objects.feed import (
    FeedChange,
    FeedChanges,
    FeedError,
    Listing,
)
from rosemaryyoke.objects.objects import PlatformError, StoredObject
from rosemaryyoke.platform.eras import decode_era

CALL_TIMEOUT_S = 2.0
WATCH_TIMEOUT_MARGIN_S = 1.0  # a slow store takes several hundred milliseconds
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
REFUSAL_STATUSES = frozenset({429, 503})
MAX_PAGES = 1_000
MS_PER_S = 1_000


@frozen
class StoreReply:
    """A response of the store, and the era that it is from."""

    response: Response
    era: int


@define(eq=False)
class PlatformStore:
    """Store of objects by kind and name, which the object API names ``kind/name``.

    The era of a response and the ``revision`` of an object on the wire are its version
    in the object API. A response of an older era than the newest one known is late:
    what it describes is no longer in the store.
    """

    address: Address
    eras: EraRecord = field(factory=EraRecord)
    local: threading.local = field(factory=threading.local)

    def get(self, name: str) -> Result[StoredObject | None, PlatformError]:
        """Return an object, or None if it does not exist."""
        outcome = self._call("GET", f"/objects/{quote(name)}")
        if isinstance(outcome, Err):
            return Err(_transport_error(outcome.err_value))
        reply = outcome.ok_value
        if self._is_late(reply):
            return Err(PlatformError(_late_message(reply)))
        if reply.response.status == HTTP_NOT_FOUND:
            return Ok(None)
        if not reply.response.ok:
            return Err(_status_error(reply.response))
        return _parse_object(reply).map_err(PlatformError)

    def put(
        self, name: str, body: bytes, expected_version: int
    ) -> Result[int, PlatformError]:
        """Write an object if its version matches; version 0 creates the object."""
        kind, _, own_name = name.partition("/")
        metadata: dict[str, object] = {"name": own_name}
        method, target = "POST", f"/objects/{quote(kind)}"
        if expected_version:
            metadata["revision"] = revision_of(expected_version)
            method, target = "PUT", f"/objects/{quote(name)}"
        document = {"metadata": metadata, "spec": orjson.loads(body)}
        reply = self._write(method, target, expected_version, orjson.dumps(document))
        return reply.and_then(_written_version)

    def delete(self, name: str, expected_version: int) -> Result[None, PlatformError]:
        """Delete an object if its version matches."""
        target = f"/objects/{quote(name)}?revision={revision_of(expected_version)}"
        return self._write("DELETE", target, expected_version).map(lambda reply: None)

    def list(self, kind: str) -> Result[Listing, FeedError]:
        """Return all objects of a kind, fetched page by page.

        The listing has the position of its first page, so that a watch from there
        reports changes made while later pages were fetched.
        """
        objects: list[StoredObject] = []
        position, after = None, ""
        for _ in range(MAX_PAGES):
            outcome = self._call("GET", f"/objects/{quote(kind)}{after}")
            if isinstance(outcome, Err):
                return Err(FeedError(outcome.err_value.message))
            reply = outcome.ok_value
            if self._is_late(reply):
                return Err(FeedError(_late_message(reply)))
            if position is not None and reply.era != era_of(position):
                return Err(FeedError("listing spans two eras", history_gone=True))
            page = _parse_page(reply.response)
            if isinstance(page, Err):
                return page
            value = page.ok_value
            try:
                items = _parse_items(value["items"], reply.era)
                if position is None:
                    position = make_version(reply.era, value["storeRevision"])
            except (KeyError, TypeError, ValueError) as error:
                return Err(FeedError(f"malformed listing: {error!r}"))
            objects.extend(items)
            if not value.get("hasMore"):
                return Ok(Listing(position, objects))
            if not items:
                return Err(FeedError("malformed listing: a page without an object"))
            after = f"?after={quote(items[-1].name)}"
        return Err(FeedError("listing exceeds the page limit"))

    def watch(
        self, kind: str, position: int, wait_s: float
    ) -> Result[FeedChanges, FeedError]:
        """Long-poll for changes of a kind after a position, for up to ``wait_s``.

        Revisions of another era say nothing about the position, so the kind must then
        be listed again.
        """
        if era_of(position) != self.eras.current:
            return Err(FeedError("position of an older era", history_gone=True))
        wait_ms = int(wait_s * MS_PER_S)
        query = f"watch={revision_of(position)}&waitMs={wait_ms}"
        target = f"/objects/{quote(kind)}?{query}"
        outcome = self._call("GET", target, timeout_s=wait_s + WATCH_TIMEOUT_MARGIN_S)
        if isinstance(outcome, Err):
            return Err(FeedError(outcome.err_value.message))
        reply = outcome.ok_value
        if reply.era != era_of(position) or self._is_late(reply):
            return Err(FeedError("the era has changed", history_gone=True))
        page = _parse_page(reply.response)
        if isinstance(page, Err):
            return page
        try:
            changes = _parse_events(page.ok_value["events"], reply.era)
            after = make_version(reply.era, page.ok_value["storeRevision"])
        except (KeyError, TypeError, ValueError) as error:
            return Err(FeedError(f"malformed watch response: {error!r}"))
        return Ok(FeedChanges(after, changes))

    def _write(
        self, method: str, target: str, expected_version: int, body: bytes | None = None
    ) -> Result[StoreReply, PlatformError]:
        """Send a write that is conditional on a version, unless it is 0.

        An equal revision of another era is another content, so a write that is
        conditional on a version of an older era is not sent.
        """
        if expected_version and era_of(expected_version) != self.eras.current:
            return Err(PlatformError("version of an older era", conflict=True))
        outcome = self._call(method, target, body)
        if isinstance(outcome, Err):
            return Err(_transport_error(outcome.err_value))
        reply = outcome.ok_value
        is_other_era = expected_version and reply.era != era_of(expected_version)
        if is_other_era or self._is_late(reply):
            message = f"response of era {reply.era} to a write of another era"
            return Err(PlatformError(message, conflict=True, maybe_applied=True))
        if not reply.response.ok:
            return Err(_status_error(reply.response))
        return Ok(reply)

    def _is_late(self, reply: StoreReply) -> bool:
        return reply.era < self.eras.current

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[StoreReply, RequestError]:
        caller = getattr(self.local, "caller", None)
        if caller is None:
            caller = self.local.caller = HttpClient(self.address)
        outcome = caller.request(method, target, body, timeout_s)
        if isinstance(outcome, Err):
            return outcome
        try:
            era = decode_era(outcome.ok_value.headers)
        except ValueError as error:
            return Err(RequestError(f"malformed era: {error}", sent=True))
        self.eras.learn(era, "store")
        return Ok(StoreReply(outcome.ok_value, era))


def _late_message(reply: StoreReply) -> str:
    return f"response of the older era {reply.era}"


def _parse_item(item: dict, era: int) -> StoredObject:
    metadata = item["metadata"]
    version = make_version(era, metadata["revision"])
    return StoredObject(metadata["name"], version, encode_json(item.get("spec")))


def _parse_items(items: list, era: int) -> list[StoredObject]:
    """Parse the objects of a page; skip malformed ones."""
    parsed = [_try_parse(item, era) for item in items]
    return [stored for stored in parsed if stored is not None]


def _parse_events(events: list, era: int) -> list[FeedChange]:
    """Parse the events of a watch; skip malformed ones."""
    changes = []
    for event in events:
        stored = _try_parse(event["object"], era) if "object" in event else None
        if stored is not None:
            changes.append(FeedChange(stored, bool(event.get("deleted"))))
    return changes


def _try_parse(item: object, era: int) -> StoredObject | None:
    try:
        return _parse_item(item, era)
    except (KeyError, TypeError, ValueError) as error:
        logging.warning("object of the store is malformed: %r", error)
        return None


def _parse_object(reply: StoreReply) -> Result[StoredObject, str]:
    try:
        return Ok(_parse_item(reply.response.json(), reply.era))
    except (ValueError, KeyError, TypeError) as error:
        return Err(f"malformed object: {error!r}")


def _written_version(reply: StoreReply) -> Result[int, PlatformError]:
    return _parse_object(reply).map(_version).map_err(_maybe_applied_error)


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


def _parse_page(answer: Response) -> Result[dict, FeedError]:
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

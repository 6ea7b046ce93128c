"""Discovery of entry hosts, cached for the lifetime of the answer."""

import threading
import time

import orjson
from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.client.errors import CallFailed
from rosemaryyoke.wire import HttpRequest, send

LOOKUP_TIMEOUT_S = 2.0


@frozen
class EntryHosts:
    """Host addresses and the monotonic time at which they expire."""

    addresses: tuple[str, ...]
    expires_at_s: float


@define
class HostFinder:
    """Look up entry hosts at any known host, starting with the last answer."""

    seeds: list[str]
    api_key: str = field(repr=False)
    data_centre: str = ""
    cached: EntryHosts = EntryHosts((), 0.0)
    lock: threading.Lock = field(factory=threading.Lock)

    def addresses(self) -> Result[tuple[str, ...], CallFailed]:
        """Return the cached addresses, or look them up after they expired."""
        with self.lock:
            if self.cached.addresses and time.monotonic() < self.cached.expires_at_s:
                return Ok(self.cached.addresses)
            return self._look_up()

    def _look_up(self) -> Result[tuple[str, ...], CallFailed]:
        failed = CallFailed(0, "no_host", "no host answers")
        for address in dict.fromkeys((*self.cached.addresses, *self.seeds)):
            requested_at_s = time.monotonic()
            url = f"http://{address}/v1/entry-hosts?data_centre={self.data_centre}"
            headers = {"Authorization": f"Bearer {self.api_key}"}
            outcome = send(HttpRequest("GET", url, headers, timeout_s=LOOKUP_TIMEOUT_S))
            if isinstance(outcome, Err):
                continue
            if not outcome.ok_value.ok:
                failed = read_failure(outcome.ok_value.status, outcome.ok_value.body)
                continue
            value = outcome.ok_value.json()
            found = tuple(host["address"] for host in value["hosts"])
            self.cached = EntryHosts(found, requested_at_s + value["lifetime_s"])
            return Ok(found)
        return Err(failed)

    def expire(self) -> None:
        """Expire the cache; its addresses are still tried first at the next lookup."""
        with self.lock:
            self.cached = EntryHosts(self.cached.addresses, 0.0)


def read_failure(status: int, body: bytes) -> CallFailed:
    """Parse a host's error response."""
    try:
        error = orjson.loads(body)["error"]
        return CallFailed(
            status,
            error["code"],
            error["message"],
            error.get("not_run", False),
            error.get("retry_after_s", 0.0),
        )
    except (ValueError, KeyError, TypeError):
        return CallFailed(
            status, "malformed_answer", "the error response could not be parsed"
        )

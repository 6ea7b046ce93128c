"""Keeps the software versions of upstreams in the store, beyond the end of all hosts.

A host that has just started sees the versions that serve now. Streams may have begun at
one that left, or was replaced, before; only the store outlasts all hosts.
"""

import hashlib
import threading
import time
from typing import Callable

import orjson
from absl import logging
from attrs import define, field
from result import Err

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.objects import ObjectApi
from rosemaryyoke.objects.eras import EraRecord
from rosemaryyoke.objects.feed import ObjectFeed
from rosemaryyoke.origins import ServedVersions

OBJECT_PREFIX = "software-versions"
NAME_BYTES = 16
RETRY_S = 1.0
READ_WAIT_S = 0.3

ServiceVersion = tuple[str, str]  # the names of a service and of a software version


def object_name(version: ServiceVersion) -> str:
    """Return the name of a version's object."""
    digest = hashlib.blake2b(orjson.dumps(version), digest_size=NAME_BYTES)
    return f"{OBJECT_PREFIX}/{digest.hexdigest()}"


def encode_version(version: ServiceVersion) -> bytes:
    """Encode a version as JSON; when it served is left out, as hosts' clocks differ."""
    service, software = version
    return orjson.dumps({"service": service, "software": software})


def decode_version(body: bytes) -> ServiceVersion:
    """Decode a version; raise ``ValueError`` if it is invalid."""
    try:
        value = orjson.loads(body)
        service, software = value["service"], value["software"]
    except (KeyError, TypeError) as error:
        raise ValueError(f"a field is missing: {error}") from error
    if not isinstance(service, str) or not isinstance(software, str):
        raise ValueError("a name is no text")
    return service, software


@define(eq=False)
class VersionRegister:
    """Reads the versions of the store, and keeps them up to date as a watcher.

    They are read at the start, and again after this host did not follow the store for
    a while: ``is_following`` tells whether it does. ``on_call`` takes the outcome of
    such a read.

    A version is removed when hosts have not seen it for as long as they remember
    streams. In a new era of the store, versions that it may have lost are written
    again.
    """

    api: ObjectApi
    feed: ObjectFeed
    roles: WatcherRoles
    served: ServedVersions
    eras: EraRecord = field(factory=EraRecord)
    is_following: Callable[[], bool] = lambda: False
    on_call: Callable[[bool], None] = lambda success: None
    stored: set[ServiceVersion] | None = None
    era: int = 0
    next_attempt_s: float = 0.0
    lock: threading.Lock = field(factory=threading.Lock)

    def ensure_read(self) -> None:
        """Read the versions now if that has not been done, for a caller that waits.

        It waits for a short time only if the store gives no answer.
        """
        if not self.lock.acquire(timeout=READ_WAIT_S):
            return
        try:
            due = time.monotonic() >= self.next_attempt_s
            if not self.served.past_known and due and not self.load():
                self.next_attempt_s = time.monotonic() + RETRY_S
        finally:
            self.lock.release()

    def tick(self) -> None:
        """Read the versions, or write what changed, when the next attempt is due."""
        with self.lock:
            self.synchronize(time.monotonic())

    def synchronize(self, now_s: float) -> None:
        """Read the versions, or write what changed, if the next attempt is due."""
        if now_s < self.next_attempt_s:
            return
        is_watcher = self.roles.is_watcher(now_s)
        succeeded = True
        if (
            self.stored is None
            or self.is_gap()
            or (is_watcher and self.era != self.eras.current)
        ):
            succeeded = self.load()
            self.on_call(succeeded)
        elif is_watcher:
            succeeded = self.write_changes()
        if not succeeded:
            self.next_attempt_s = now_s + RETRY_S

    def is_gap(self) -> bool:
        """Return whether this host follows the store anew, without its past."""
        return not self.served.past_known and self.is_following()

    def load(self) -> bool:
        """Read the versions of the store; return whether it answered."""
        era = self.eras.current
        listing = self.feed.list(OBJECT_PREFIX)
        if isinstance(listing, Err):
            logging.warning(
                "listing the software versions failed: %s", listing.err_value.message
            )
            return False
        versions = set()
        for stored in listing.ok_value.objects:
            try:
                versions.add(decode_version(stored.body))
            except ValueError as error:
                logging.warning("version %s is malformed: %s", stored.name, error)
        if not self.served.past_known:
            self.served.add_past(versions)
            log_event("past software versions read", versions=sorted(versions))
        self.era, self.stored = era, versions
        return True

    def write_changes(self) -> bool:
        """Write new versions and remove those that served long ago.

        Return whether the store holds just the versions that served lately.
        """
        seen = self.served.all_versions()
        results = [self.write(version) for version in seen - self.stored]
        results += [self.remove(version) for version in self.stored - seen]
        return all(results)

    def write(self, version: ServiceVersion) -> bool:
        """Write a version; return whether the store holds it."""
        name = object_name(version)
        written = self.api.put(name, encode_version(version), 0)
        if isinstance(written, Err) and not written.err_value.conflict:
            logging.warning("writing %s failed: %s", name, written.err_value.message)
            return False
        self.stored.add(version)
        log_event("software version stored", service=version[0], software=version[1])
        return True

    def remove(self, version: ServiceVersion) -> bool:
        """Remove a version; return whether the store no longer holds it."""
        name = object_name(version)
        known = self.api.get(name)
        if isinstance(known, Err):
            return False
        if known.ok_value is not None:
            removed = self.api.delete(name, known.ok_value.version)
            if isinstance(removed, Err):
                message = removed.err_value.message
                logging.warning("removing %s failed: %s", name, message)
                return False
        self.stored.discard(version)
        log_event("software version removed", service=version[0], software=version[1])
        return True

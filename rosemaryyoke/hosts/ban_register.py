"""Keeps bans in the store, for hosts that start while no other host remembers them."""

import hashlib
import time

import orjson
from absl import logging
from attrs import define, field
from result import Err

from rosemaryyoke.core.logs import log_event
from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.objects import ObjectApi
from rosemaryyoke.objects.eras import EraRecord
from rosemaryyoke.objects.feed import ObjectFeed
from rosemaryyoke.quarantine import Ban, Quarantine

OBJECT_PREFIX = "prompt-bans"
NAME_BYTES = 16
RETRY_S = 2.0
SOURCE = "store"  # as the host that reported a ban, in logs


def object_name(keys: frozenset[int]) -> str:
    """Return the name of a ban's object."""
    text = " ".join(format_key(key) for key in sorted(keys)).encode()
    digest = hashlib.blake2b(text, digest_size=NAME_BYTES).hexdigest()
    return f"{OBJECT_PREFIX}/{digest}"


def format_key(key: int) -> str:
    """Return a part's key as text."""
    return f"{key:016x}"


def encode_ban(ban: Ban) -> bytes:
    """Encode a ban as JSON; when it began is left out, as hosts' clocks differ."""
    keys = [format_key(key) for key in sorted(ban.keys)]
    return orjson.dumps({"keys": keys, "level": ban.level})


def decode_ban(body: bytes, now_s: float) -> Ban:
    """Decode a ban, which begins now; raise ``ValueError`` if it is invalid."""
    try:
        value = orjson.loads(body)
        keys = frozenset(int(key, 16) for key in value["keys"])
        level = int(value["level"])
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"a field is missing or of another type: {error}") from error
    if not keys or max(keys) >= 2**64 or min(keys) < 0 or not 0 <= level <= 255:
        raise ValueError("the keys or the level are out of range")
    return Ban(keys, now_s, level)


@define(eq=False)
class BanRegister:
    """Reads the bans of the store once, then writes and removes them as they change.

    Only watchers do so; the other hosts learn of bans from beacons. In a new era of the
    store, the bans that it may have lost are written again.
    """

    api: ObjectApi
    feed: ObjectFeed
    roles: WatcherRoles
    quarantine: Quarantine
    eras: EraRecord = field(factory=EraRecord)
    stored: dict[frozenset[int], int] | None = None
    era: int = 0
    next_attempt_s: float = 0.0

    def tick(self) -> None:
        """Read the bans, or write what changed, when the next attempt is due."""
        now_s = time.monotonic()
        if now_s < self.next_attempt_s or not self.roles.is_watcher(now_s):
            return
        if self.stored is None or self.era != self.eras.current:
            succeeded = self.load(now_s)
        else:
            succeeded = self.write_changes()
        if not succeeded:
            self.next_attempt_s = now_s + RETRY_S

    def load(self, now_s: float) -> bool:
        """Read the bans of the store and adopt them; return whether it answered."""
        era = self.eras.current
        listing = self.feed.list(OBJECT_PREFIX)
        if isinstance(listing, Err):
            logging.warning("listing the bans failed: %s", listing.err_value.message)
            return False
        bans = []
        for stored in listing.ok_value.objects:
            try:
                bans.append(decode_ban(stored.body, now_s))
            except ValueError as error:
                logging.warning("ban %s is malformed: %s", stored.name, error)
        self.era, self.stored = era, {ban.keys: ban.level for ban in bans}
        self.quarantine.receive(SOURCE, (), bans)
        return True

    def write_changes(self) -> bool:
        """Write new and renewed bans and remove those that ended.

        Return whether the store holds all of them.
        """
        bans = {ban.keys: ban for ban in self.quarantine.current_bans()}
        changed = [
            ban for keys, ban in bans.items() if self.stored.get(keys) != ban.level
        ]
        removed = [keys for keys in self.stored if keys not in bans]
        results = [self.write(ban) for ban in changed]
        results += [self.remove(keys) for keys in removed]
        return all(results)

    def write(self, ban: Ban) -> bool:
        """Write a ban; return whether the store holds it."""
        name, body = object_name(ban.keys), encode_ban(ban)
        written = self.api.put(name, body, 0)
        if isinstance(written, Err) and written.err_value.conflict:
            known = self.api.get(name)
            if isinstance(known, Err) or known.ok_value is None:
                return False
            if orjson.loads(known.ok_value.body) != orjson.loads(body):
                written = self.api.put(name, body, known.ok_value.version)
                if isinstance(written, Err):
                    return False
        elif isinstance(written, Err):
            logging.warning("writing a ban failed: %s", written.err_value.message)
            return False
        self.stored[ban.keys] = ban.level
        log_event("ban stored", object=name, renewals=ban.level)
        return True

    def remove(self, keys: frozenset[int]) -> bool:
        """Remove a ban that ended; return whether the store no longer holds it."""
        name = object_name(keys)
        known = self.api.get(name)
        if isinstance(known, Err):
            return False
        if known.ok_value is not None:
            removed = self.api.delete(name, known.ok_value.version)
            if isinstance(removed, Err):
                logging.warning("removing a ban failed: %s", removed.err_value.message)
                return False
        del self.stored[keys]
        log_event("ban removed from the store", object=name)
        return True

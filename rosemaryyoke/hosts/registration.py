"""Discovery of other hosts through the store when no seed responds."""

import random
import time

import orjson
from absl import logging
from attrs import define, field
from result import Err

from rosemaryyoke.hosts.watchers import WatcherRoles
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects import ObjectApi
from rosemaryyoke.objects.eras import EraRecord
from rosemaryyoke.objects.feed import ObjectFeed

OBJECT_PREFIX = "entry-hosts"
RETRY_S = 2.0
SEED_WAIT_S = 3.0  # long enough to receive beacons from live seeds
# After a restore of the store all registered hosts write again, spread over this time.
RESTORE_SPREAD_S = 4.0


@define(eq=False)
class Registration:
    """Registers this host's address; lists the others while no peer is live.

    Only watchers and hosts without a live peer register: a few addresses are enough to
    find the others. A registered host registers again in each new era of the store,
    which may have lost the registration.
    """

    api: ObjectApi
    feed: ObjectFeed
    roles: WatcherRoles
    host: str
    address: Address
    eras: EraRecord = field(factory=EraRecord)
    registered: bool = False
    registered_era: int = 0
    next_attempt_s: float = 0.0

    def tick(self) -> None:
        """Register this host or discover others, when the next attempt is due."""
        now_s = time.monotonic()
        self.check_era(now_s)
        if now_s < self.next_attempt_s:
            return
        self.next_attempt_s = now_s + RETRY_S
        if not self.registered and self.is_needed(now_s):
            self.registered_era = self.eras.current
            self.registered = self.register()
            self.next_attempt_s = now_s + SEED_WAIT_S
        elif not self.roles.table.live_peers(now_s):
            self.discover_hosts(now_s)

    def check_era(self, now_s: float) -> None:
        """Forget a registration of an older era, and delay the next one at random."""
        if self.registered and self.registered_era != self.eras.current:
            self.registered = False
            self.next_attempt_s = now_s + random.uniform(0.0, RESTORE_SPREAD_S)

    def is_needed(self, now_s: float) -> bool:
        """Return whether others may have to find this host through the store."""
        no_peers = not self.roles.table.live_peers(now_s)
        return no_peers or self.roles.is_watcher(now_s)

    def register(self) -> bool:
        """Write this host's address; return whether the store holds it."""
        name = f"{OBJECT_PREFIX}/{self.host}"
        body = orjson.dumps({"address": str(self.address)})
        written = self.api.put(name, body, 0)
        if isinstance(written, Err) and written.err_value.conflict:
            stored = self.api.get(name)
            if isinstance(stored, Err) or stored.ok_value is None:
                return False
            if orjson.loads(stored.ok_value.body) == orjson.loads(body):
                return True
            written = self.api.put(name, body, stored.ok_value.version)
        if isinstance(written, Err):
            logging.warning(
                "registration in the store failed: %s", written.err_value.message
            )
            return False
        return True

    def discover_hosts(self, now_s: float) -> None:
        """Add the addresses of all hosts that ever registered as candidates."""
        listing = self.feed.list(OBJECT_PREFIX)
        if isinstance(listing, Err):
            logging.warning(
                "listing registered hosts failed: %s", listing.err_value.message
            )
            return
        for stored in listing.ok_value.objects:
            try:
                address = Address.parse(orjson.loads(stored.body)["address"])
            except (AttributeError, ValueError, KeyError, TypeError) as error:
                logging.warning(
                    "registration entry %s is malformed: %s", stored.name, error
                )
                continue
            self.roles.table.add_candidates([address], now_s)

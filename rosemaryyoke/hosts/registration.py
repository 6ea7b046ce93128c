"""Find other hosts through the store where no seed leads to one."""

import time

import orjson
from absl import logging
from attrs import define
from result import Err

from rosemaryyoke.hosts.table import HostTable
from rosemaryyoke.http1 import Address
from rosemaryyoke.objects import ObjectApi
from rosemaryyoke.objects.feed import ObjectFeed

OBJECT_PREFIX = "entry-hosts"
RETRY_S = 2.0
SEED_WAIT_S = 3.0  # beacons of seeds have come by then


@define(eq=False)
class Registration:
    """Writes this host's address once, and lists the others' while it is alone."""

    api: ObjectApi
    feed: ObjectFeed
    table: HostTable
    host: str
    address: Address
    registered: bool = False
    next_attempt_s: float = 0.0

    def tick(self) -> None:
        """Register, or look for others, when that is due."""
        now_s = time.monotonic()
        if now_s < self.next_attempt_s:
            return
        self.next_attempt_s = now_s + RETRY_S
        if not self.registered:
            self.registered = self.register()
            self.next_attempt_s = now_s + SEED_WAIT_S
        elif not self.table.live_peers(now_s):
            self.discover_hosts(now_s)

    def register(self) -> bool:
        """Write this host's address; tell whether it stands."""
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
            logging.warning("not registered: %s", written.err_value.message)
            return False
        return True

    def discover_hosts(self, now_s: float) -> None:
        """Note the addresses of all hosts that ever registered."""
        listing = self.feed.list(OBJECT_PREFIX)
        if isinstance(listing, Err):
            logging.warning("hosts not listed: %s", listing.err_value.message)
            return
        for stored in listing.ok_value.objects:
            try:
                address = Address.parse(orjson.loads(stored.body)["address"])
            except (ValueError, KeyError, TypeError, OSError) as error:
                logging.warning("host %s is malformed: %s", stored.name, error)
                continue
            self.table.add_candidates([address], now_s)

"""Simulated engines that cache prompts, and the KV cache stores that they share."""

import threading
import time

import orjson
from attrs import define, field, frozen

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.http1 import Address, RequestMessage
from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform import names
from rosemaryyoke.platform.standins.documents import MODEL
from rosemaryyoke.platform.standins.simulated_upstreams import SimulatedUpstream

FINISH_FIRST = "queue"
GATE_TIMEOUT_S = 10.0


@frozen
class CacheKey:
    """What an entry of a KV cache is found by."""

    salt: bytes | None
    model: bytes
    part: str


@frozen
class CachedPart:
    """Which engine made an entry, and the version of its weights at that time."""

    maker: str
    version: int


@frozen
class StaleUse:
    """A request that began on an entry of another version of its model."""

    request: bytes
    upstream: str
    version: int
    key: CacheKey
    entry: CachedPart


Cache = dict[CacheKey, CachedPart]


@define(eq=False)
class KvNetwork:
    """The caches of engines and stores by address, and what requests used of them."""

    caches: dict[bytes, Cache] = field(factory=dict)
    uses: int = 0
    stale_uses: list[StaleUse] = field(factory=list)
    lock: threading.RLock = field(factory=threading.RLock)

    def cache(self, address: bytes | None) -> Cache:
        """Return the cache at an address, which is empty at first."""
        return self.caches.setdefault(address, {})

    def find(self, address: bytes, key: CacheKey) -> CachedPart | None:
        """Return an entry of the cache at an address, if it is there."""
        with self.lock:
            return self.cache(address).get(key)

    def add(self, address: bytes, key: CacheKey, entry: CachedPart) -> None:
        """Add an entry; one that is there stays as it was first made."""
        with self.lock:
            self.cache(address).setdefault(key, entry)


@define(eq=False)
class CachingEngine(SimulatedUpstream):
    """Engine that caches the parts of prompts, and fetches and saves them as asked.

    Reading a part that is not cached takes ``read_s``. Weights are replaced ``load_s``
    after an order, after all running requests have ended if the order says so, and
    empty the cache. A part is kept under the text that the request named, as made by
    the weights that are there when its reading ends. Reading one of ``gates`` ends only
    when its event is set. ``swaps`` counts replacements.
    """

    network: KvNetwork = field(factory=KvNetwork)
    fetch_address: Address | None = None
    read_s: float = 0.0
    load_s: float = 0.05
    gates: dict[str, threading.Event] = field(factory=dict)
    reading: set[str] = field(factory=set)
    refuses_orders: bool = False
    swap_mode: str = ""
    swaps: int = 0
    active: int = 0
    begun: int = 0
    changed: threading.Condition = field(factory=threading.Condition)

    def parts_being_read(self) -> list[str]:
        """Return the parts whose reading has not ended."""
        with self.changed:
            return sorted(self.reading)

    @property
    def own_address(self) -> bytes:
        """Return the address from which other engines fetch, as requests name it."""
        return str(self.fetch_address or self.address).encode()

    def answer_report(self, caller: CallerConnection) -> None:
        """Respond with the current state, and the requests that are read or run."""
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        value = {"models": models, "busy": self.loading, "seq": self.orders}
        with self.changed:
            runs = [[f"run-{number}", 0, 1, 5] for number in range(self.begun)]
            value |= {"queued": 0, "active": self.active, "runs": runs}
        headers = self.notice_headers()
        caller.send_response(200, b"", headers, orjson.dumps(value))

    def accept_order(self, order: dict) -> int:
        """Start loading weights in the mode of the order."""
        if self.refuses_orders:
            return 409
        with self.changed:
            if not self.loading:
                self.swap_mode = order["swapMode"]
            return super().accept_order(order)

    def load_weights(self, version: int) -> None:
        """Replace the weights after the loading time."""
        with self.changed:
            if self.swap_mode == FINISH_FIRST:
                self.changed.wait_for(lambda: not self.active)
        time.sleep(self.load_s)
        self.replace_weights(version)
        self.loading = False
        self.on_loaded()

    def replace_weights(self, version: int) -> None:
        """Serve another version, with an empty cache."""
        with self.changed:
            self.version = version
            self.swaps += 1
            with self.network.lock:
                self.network.cache(self.own_address).clear()

    def run_request(self, message: RequestMessage, caller: CallerConnection) -> None:
        """Read the prompt, then stream the response."""
        not_run = [(names.NOT_EXECUTED, b"1")]
        with self.changed:
            admitted = not self.loading and self.has_weights(message)
            self.active += admitted
            swaps = self.swaps
        if not admitted:
            self.reply(message, caller, 503 if self.loading else 421, not_run)
            return
        begun = False
        try:
            self.read_prompt(message, swaps)
            with self.changed:
                begun = True
                self.begun += 1
            super().run_request(message, caller)
        finally:
            with self.changed:
                self.active -= 1
                self.begun -= begun
                self.changed.notify_all()

    def read_prompt(self, message: RequestMessage, swaps: int) -> None:
        """Find or read each part, and record uses of entries of other weights.

        ``swaps`` is how often weights were replaced before the request was admitted.
        """
        keys = cache_keys(message)
        used = self.find_prefix(message, keys)
        for key in keys[len(used) :]:
            self.read_part(key)
        store = find_header(message.headers, names.KV_SAVE.lower())
        if store is not None:
            self.save(keys[:-1], store)
        if self.swaps == swaps:  # else the run goes on, which breaks nothing
            self.record_uses(message, used)

    def read_part(self, key: CacheKey) -> None:
        """Read a part, and keep it as made by the weights that are there then."""
        with self.changed:
            self.reading.add(key.part)
        time.sleep(self.read_s)
        if key.part in self.gates:
            self.gates[key.part].wait(GATE_TIMEOUT_S)
        with self.changed:
            self.reading.discard(key.part)
            made = CachedPart(self.name, self.version)
            self.network.add(self.own_address, key, made)

    def find_prefix(
        self, message: RequestMessage, keys: list[CacheKey]
    ) -> dict[CacheKey, CachedPart]:
        """Return the entries of the longest cached prefix, fetched ones included."""
        source = find_header(message.headers, names.KV_FETCH.lower())
        found = {}
        for key in keys:
            entry = self.network.find(self.own_address, key)
            if entry is None and source is not None:
                entry = self.network.find(source, key)
            if entry is None:
                break
            found[key] = entry
            self.network.add(self.own_address, key, entry)
        return found

    def save(self, keys: list[CacheKey], store: bytes) -> None:
        """Save the parts that are kept to a store."""
        for key in keys:
            entry = self.network.find(self.own_address, key)
            if entry is not None:
                self.network.add(store, key, entry)

    def record_uses(
        self, message: RequestMessage, used: dict[CacheKey, CachedPart]
    ) -> None:
        """Record the entries that a request begins on."""
        request = find_header(message.headers, names.REQUEST_ID.lower())
        stale = [
            StaleUse(request, self.name, self.version, key, entry)
            for key, entry in used.items()
            if entry.version != self.version
        ]
        with self.network.lock:
            self.network.uses += len(used)
            self.network.stale_uses.extend(stale)


def cache_keys(message: RequestMessage) -> list[CacheKey]:
    """Return the keys of the parts of a request's prompt, in order."""
    salt = find_header(message.headers, names.CACHE_SALT.lower())
    model = find_header(message.headers, names.MODEL.lower()) or b""
    prompt = find_header(message.headers, names.PROMPT_PARTS.lower()) or b""
    parts = [item.partition(":")[0] for item in prompt.decode().split(",") if item]
    return [CacheKey(salt, model, part) for part in parts]

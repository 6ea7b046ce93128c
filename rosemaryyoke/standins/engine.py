"""Stand-in for a language-model engine.

Batches continuously: prefill is serial, decoding advances all running sequences in
steps. Streams can be resumed for a while after their connection was lost.
"""

import heapq
import itertools
import queue
import random
import secrets
import threading
import time

import orjson
from result import Err
from werkzeug.wrappers import Response

from rosemaryyoke.placement.blocks import Scope, hash_blocks
from rosemaryyoke.standins.cache import BlockCache
from rosemaryyoke.standins.sequences import (
    CacheEvent,
    EngineFault,
    EngineOptions,
    Sequence,
)
from rosemaryyoke.standins.words import TokenSource
from rosemaryyoke.wire import (
    Application,
    Exchange,
    SseEvent,
    encode_event,
    error_response,
    json_request,
    json_response,
    send,
)

IMPORT_S = 0.002
IMPORT_S_PER_BLOCK = 0.0002
STORE_TIMEOUT_S = 0.2
RESUME_GRACE_S = 10.0
FINISHED_KEPT_S = 60.0
EVENTS_KEPT = 10_000
SSE_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}


class EngineStandin:
    """State of the engine and its HTTP application."""

    def __init__(self, options: EngineOptions):
        self.options = options
        self.incarnation = secrets.token_hex(8)
        self.weights = options.weights
        self.fence = 0
        self.loading = False
        self.leaving = False
        self.random = random.Random(options.seed)
        self.fault = EngineFault()
        self.cache = BlockCache(options.cache_blocks)
        self.blocks_stored = 0
        self.events: list[CacheEvent] = []
        self.orders: list[dict] = []
        self.admitted_at: list[float] = []
        self.refused = 0
        self.sequences: dict[str, Sequence] = {}
        self.running: dict[str, Sequence] = {}
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.prefilling: Sequence | None = None
        self.numbers = itertools.count()
        self.lock = threading.Condition()
        self.prefilling_until_s = 0.0
        self.last_load: dict = {}
        self.last_load_s = 0.0

    def start(self) -> None:
        """Start the prefill and decode threads."""
        for target in (self.run_prefill, self.run_decode):
            threading.Thread(target=target, daemon=True).start()

    def application(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.add_route("/v1/completions", self.complete, "POST")
        app.add_route("/v1/streams/<request>", self.resume, "GET")
        app.add_route("/v1/streams/<request>", self.cancel, "DELETE")
        app.add_route("/load", self.show_load, "GET")
        app.add_route("/events", self.show_events, "GET")
        app.add_route("/orders", self.take_order, "POST")
        app.add_route("/control/fault", self.set_fault, "POST")
        app.add_route("/control/leave", self.leave, "POST")
        app.add_route("/control/refused", self.show_refused, "GET")
        app.add_route("/control/admitted", self.show_admitted, "GET")
        app.add_route("/control/orders", self.show_orders, "GET")
        return app

    def complete(self, exchange: Exchange) -> Response | None:
        """Admit a request and stream its tokens."""
        body = exchange.json()
        sequence = self._sequence(body)
        crashes = self.fault.crash_text and self.fault.crash_text in body["prompt"]
        with self.lock:  # no order comes between the check and the admission
            refusal = self._refusal(body)
            if refusal is None and not crashes:
                self._admit(sequence, body.get("priority", 1))
        if refusal is not None:
            self.refused += 1
            return refusal
        self.admitted_at.append(time.time())
        if crashes:
            exchange.begin_response(SSE_HEADERS)
            raise ConnectionError("crashed by the prompt")
        return self._stream(exchange, sequence, sequence.first_index)

    def _refusal(self, body: dict) -> Response | None:
        if self.loading or self.leaving:
            return error_response(503, "not_accepting", "no new work is taken")
        if body["model"] != self.options.model or body["weights"] != self.weights:
            return error_response(409, "wrong_weights", "other weights are loaded")
        imported = body.get("kv_import")
        if imported and (
            imported["account"] != body["cache_salt"]
            or imported["weights"] != self.weights
            or imported["model"] != self.options.model
        ):
            return error_response(409, "wrong_kv", "the KV is of another scope")
        return None

    def _sequence(self, body: dict) -> Sequence:
        scope = Scope(body["cache_salt"], body["model"], body["weights"])
        prompt, continued = body["prompt"], body.get("continued", "")
        return Sequence(
            request=body["request"],
            account=body["cache_salt"],
            weights=body["weights"],
            chain=hash_blocks(scope, prompt + continued),
            source=TokenSource(prompt + continued),
            max_tokens=body["max_tokens"],
            first_index=body.get("first_index", 0),
            store=(body.get("kv_import") or {}).get("store", ""),
            reader=queue.SimpleQueue(),
        )

    def _admit(self, sequence: Sequence, priority: int) -> None:
        self.sequences[sequence.request] = sequence
        heapq.heappush(self.waiting, (-priority, next(self.numbers), sequence))
        self.lock.notify_all()

    def resume(self, exchange: Exchange, request: str) -> Response | None:
        """Stream a known request's tokens again from an index."""
        after = int(exchange.request.args.get("after", "0"))
        with self.lock:
            sequence = self.sequences.get(request)
            if sequence is None or sequence.cancelled or after < sequence.first_index:
                return error_response(404, "not_found", "no such stream")
            sequence.reader = queue.SimpleQueue()
            sequence.detached_s = 0.0
            if sequence.prefilled:
                sequence.reader.put(None)
        return self._stream(exchange, sequence, after)

    def cancel(self, exchange: Exchange, request: str) -> Response:
        """Give up a request."""
        with self.lock:
            sequence = self.sequences.get(request)
            if sequence is not None:
                self._drop(sequence)
        return json_response({})

    def _stream(
        self, exchange: Exchange, sequence: Sequence, index: int
    ) -> Response | None:
        reader = sequence.reader
        try:
            reader.get()
            if sequence.refused:
                self.refused += 1
                return error_response(503, "not_accepting", "other weights are loaded")
            write = exchange.begin_response(SSE_HEADERS)
            write(self._started(sequence))
            sent = 0
            while True:
                end = sequence.end
                for position in range(index, end):
                    write(self._token(sequence, position))
                    sent += 1
                    if 0 < self.fault.cut_after_tokens <= sent:
                        raise ConnectionError("cut by the fault that is set")
                index = max(index, end)
                if sequence.done and index == sequence.end:
                    write(self._finished(sequence, index))
                    return None
                if sequence.cancelled or reader is not sequence.reader:
                    raise ConnectionError("the stream was taken over or cancelled")
                if index == sequence.end:
                    reader.get()
        finally:
            with self.lock:
                if sequence.reader is reader:
                    sequence.reader = None
                    sequence.detached_s = time.monotonic()

    def _started(self, sequence: Sequence) -> bytes:
        return self._event(
            sequence,
            {
                "kind": "started",
                "incarnation": self.incarnation,
                "weights": sequence.weights,
                "cached_blocks": sequence.cached,
                "prompt_blocks": len(sequence.chain),
                "waiting_s": self.waiting_s(),
                "blocks_stored": self.blocks_stored,
            },
        )

    def _token(self, sequence: Sequence, index: int) -> bytes:
        text = sequence.tokens[index - sequence.first_index]
        event = self._event(sequence, {"kind": "token", "index": index, "text": text})
        if self.fault.cross_every and index % self.fault.cross_every == 0:
            crossed = {"kind": "token", "index": index, "text": "crossed "}
            crossed["request"] = "another-request"
            return encode_event(SseEvent(orjson.dumps(crossed))) + event + event
        return event

    def _finished(self, sequence: Sequence, count: int) -> bytes:
        return self._event(sequence, {"kind": "finished", "count": count})

    def _event(self, sequence: Sequence, value: dict) -> bytes:
        return encode_event(
            SseEvent(orjson.dumps({"request": sequence.request, **value}))
        )

    def run_prefill(self) -> None:
        """Prefill one waiting request after another."""
        while True:
            with self.lock:
                while not self.waiting:
                    self.lock.wait()
                sequence = heapq.heappop(self.waiting)[2]
                if sequence.cancelled:
                    continue
                seconds = self._begin_prefill(sequence)
                self.prefilling = sequence
                self.prefilling_until_s = time.monotonic() + seconds
            time.sleep(seconds)
            with self.lock:
                self.prefilling = None
                if sequence.refused:
                    continue
                self._store(sequence)
                sequence.prefilled = True
                self._produce(sequence)
                self.running[sequence.request] = sequence
                self.lock.notify_all()

    def _begin_prefill(self, sequence: Sequence) -> float:
        cached = self.cache.match(sequence.chain)
        imported = 0
        if sequence.store and cached < len(sequence.chain):
            imported = max(0, self._kept(sequence) - cached)
        sequence.cached = cached + imported
        sequence.saves = bool(sequence.store) and cached < len(sequence.chain)
        missed = len(sequence.chain) - cached - imported
        seconds = missed * self.options.prefill_s_per_block
        if imported:
            seconds += IMPORT_S + imported * IMPORT_S_PER_BLOCK
        return seconds

    def _store(self, sequence: Sequence) -> None:
        """Keep a chain that was computed, here and, if asked to, in the store."""
        stored = self.cache.insert(sequence.chain)
        self.blocks_stored += len(stored.added)
        self._publish(stored.added, stored.evicted)
        if sequence.saves:
            self._call_store(sequence, "/kv")

    def _call_store(self, sequence: Sequence, path: str):
        chain = {"chain": [block.hex() for block in sequence.chain]}
        url = f"http://{sequence.store}{path}"
        return send(json_request("POST", url, chain, timeout_s=STORE_TIMEOUT_S))

    def _kept(self, sequence: Sequence) -> int:
        """Return how much the store holds of a chain."""
        match = self._call_store(sequence, "/kv/match")
        if isinstance(match, Err) or not match.ok_value.ok:
            return 0
        return match.ok_value.json()["blocks"]

    def _publish(self, added: list[bytes], evicted: list[bytes]) -> None:
        event = CacheEvent(
            next(self.numbers),
            [block.hex() for block in added],
            [block.hex() for block in evicted],
            time.monotonic() + self.fault.event_lag_s,
        )
        if self.random.random() >= self.fault.event_gap:
            self.events.append(event)
        del self.events[:-EVENTS_KEPT]

    def run_decode(self) -> None:
        """Produce a token for every running request at each step."""
        due_s = time.monotonic()
        while True:
            with self.lock:
                while not self.running:
                    self.lock.wait()
                    due_s = time.monotonic()
                for sequence in list(self.running.values()):
                    self._produce(sequence)
                self._forget_old()
            due_s = max(due_s + self.options.token_s, time.monotonic() - 0.1)
            time.sleep(max(0.0, due_s - time.monotonic()))

    def _produce(self, sequence: Sequence) -> None:
        if sequence.cancelled:
            self._drop(sequence)
            return
        if not sequence.done:
            sequence.tokens.append(sequence.source.next())
        if sequence.done:
            sequence.finished_s = time.monotonic()
            self.running.pop(sequence.request, None)
        if sequence.reader is not None:
            sequence.reader.put(None)

    def _forget_old(self) -> None:
        now = time.monotonic()
        for sequence in list(self.sequences.values()):
            lost = sequence.detached_s and now - sequence.detached_s > RESUME_GRACE_S
            old = sequence.finished_s and now - sequence.finished_s > FINISHED_KEPT_S
            if (lost and not sequence.done) or old:
                self._drop(sequence)

    def _drop(self, sequence: Sequence) -> None:
        sequence.cancelled = True
        self.sequences.pop(sequence.request, None)
        self.running.pop(sequence.request, None)
        if sequence.reader is not None:
            sequence.reader.put(None)

    def waiting_s(self) -> float:
        """Return the prefill time that waits, at worst with no hit."""
        blocks = sum(len(item[2].chain) for item in list(self.waiting))
        left_s = max(0.0, self.prefilling_until_s - time.monotonic())
        return left_s + blocks * self.options.prefill_s_per_block

    def show_load(self, exchange: Exchange) -> Response:
        """Return the load report, which lags by what the fault says."""
        now = time.monotonic()
        if not self.last_load or now - self.last_load_s >= self.fault.load_lag_s:
            self.last_load_s = now
            self.last_load = {
                "incarnation": self.incarnation,
                "weights": self.weights,
                "waiting_s": self.waiting_s(),
                "running": len(self.running),
                "blocks_stored": self.blocks_stored,
                "cache_blocks": self.options.cache_blocks,
                "accepting": not (self.loading or self.leaving),
                "leaving": self.leaving,
                "loading": self.loading,
            }
        return json_response(self.last_load)

    def show_events(self, exchange: Exchange) -> Response:
        """Return the cache events after a number, late and with gaps."""
        after = int(exchange.request.args.get("after", "-1"))
        now = time.monotonic()
        with self.lock:
            events = [
                {"number": e.number, "stored": e.stored, "removed": e.removed}
                for e in self.events
                if e.number > after and e.visible_s <= now
            ]
        return json_response({"incarnation": self.incarnation, "events": events})

    def take_order(self, exchange: Exchange) -> Response:
        """Load other weights; refuse an old fencing number where it is checked."""
        order = exchange.json()
        with self.lock:
            if self.options.checks_fencing and order["fencing"] < self.fence:
                return error_response(409, "old_fencing_number", "a newer one is known")
            self.fence = max(self.fence, order["fencing"])
            if self.loading:
                return error_response(409, "loading", "a load is under way")
            if order["weights"] == self.weights:
                return json_response({"weights": self.weights})
            record = {**order, "began_at": time.time(), "ended_at": 0.0}
            self.orders.append(record)
            self.loading = True
            self._refuse_waiting()
        time.sleep(self.options.load_s)
        with self.lock:
            self.weights = order["weights"]
            self.cache.clear()
            for sequence in self.running.values():
                sequence.weights = self.weights
            self.loading = False
            record["ended_at"] = time.time()
        return json_response({"weights": self.weights})

    def _refuse_waiting(self) -> None:
        """Refuse the requests that have not started; their weights are replaced."""
        waiting = [item[2] for item in self.waiting]
        if self.prefilling is not None:
            waiting.append(self.prefilling)
        self.waiting.clear()
        for sequence in waiting:
            sequence.refused = True
            self._drop(sequence)

    def show_orders(self, exchange: Exchange) -> Response:
        """Return the orders that were carried out, in order."""
        return json_response({"orders": self.orders, "weights": self.weights})

    def show_refused(self, exchange: Exchange) -> Response:
        """Return how many requests were refused."""
        return json_response({"refused": self.refused})

    def show_admitted(self, exchange: Exchange) -> Response:
        """Return the times at which work was admitted."""
        return json_response({"admitted_at": self.admitted_at})

    def set_fault(self, exchange: Exchange) -> Response:
        """Set how the engine misbehaves."""
        self.fault = EngineFault(**exchange.json())
        return json_response({})

    def leave(self, exchange: Exchange) -> Response:
        """Take no new work from now on."""
        self.leaving = True
        return json_response({})

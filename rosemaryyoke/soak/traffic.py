"""Callers that ask hosts at random and file what they are told."""

import itertools
import random
import threading

from attrs import define, evolve, field
from result import Err

from rosemaryyoke.http1 import ResponseMessage
from rosemaryyoke.platform.standins.simulated_upstreams import (
    encode_request,
    exchange_request,
    read_answer_identity,
)
from rosemaryyoke.soak.ledger import SAFE, STREAM, UNSAFE, Told, now_s
from rosemaryyoke.soak.scene import HostProcess, Scene

DEADLINE_S = 2.0
PATIENCE_S = 5.0  # the longest time-out of a route, and the slack of its answer
PAUSE_S = (0.0, 0.1)
PATHS = {
    STREAM: ("/chat/1", "POST"),
    UNSAFE: ("/issue/1", "POST"),
    SAFE: ("/read/1", "GET"),
}
KEYS = {"t1": "k1", "t2": "k2"}


@define(eq=False)
class Traffic:
    """Callers, each on a thread, until told to stop."""

    scene: Scene
    seed: int
    callers: int
    numbers: itertools.count = field(factory=itertools.count)
    stopping: threading.Event = field(factory=threading.Event)
    threads: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Start every caller."""
        for number in range(self.callers):
            thread = threading.Thread(target=self.call_on, args=(number,), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Let every caller end its request."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def call_on(self, number: int) -> None:
        """Ask again and again."""
        luck = random.Random(f"{self.seed}/caller/{number}")
        while not self.stopping.wait(luck.uniform(*PAUSE_S)):
            host = luck.choice(self.scene.hosts)
            kind, account = luck.choice(list(PATHS)), luck.choice(list(KEYS))
            self.ask(host, kind, account)

    def ask(self, host: HostProcess, kind: str, account: str) -> Told:
        """Ask a host once, and file what it tells."""
        request = f"{kind}-{next(self.numbers)}"
        path, method = PATHS[kind]
        streams = kind == STREAM
        key = KEYS[account]
        data = encode_request(request, path, method, key, DEADLINE_S, streams)
        sent_s = now_s()
        answer = exchange_request(host.callers.address, data, PATIENCE_S)
        wait_s = now_s() - sent_s
        told = Told(request, kind, host.name, sent_s, wait_s, account=account)
        if not isinstance(answer, Err) and answer.ok_value.head_complete:
            told = read_answer(told, answer.ok_value)
        self.scene.ledger.tell(told)
        return told


def read_answer(told: Told, message: ResponseMessage) -> Told:
    """Return an entry with what an answer says."""
    named, signed_by = read_answer_identity(message)
    return evolve(
        told,
        status=message.status,
        complete=message.complete,
        request_named=named,
        signed_by=signed_by,
        body=message.body,
    )

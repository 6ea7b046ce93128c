"""Load generator: callers send requests to random hosts and record the results."""

import itertools
import random
import threading

from attrs import define, evolve, field

from rosemaryyoke.http1 import ResponseMessage
from rosemaryyoke.platform.standins.simulated_upstreams import (
    Client,
    encode_request,
    read_answer_identity,
)
from rosemaryyoke.soak.history import SAFE, STREAM, UNSAFE, CallResult, now_s
from rosemaryyoke.soak.testbed import HostProcess, Testbed

DEADLINE_S = 3.0
CALL_TIMEOUT_S = 5.0  # the deadline, plus slack for the answer
SESSIONS = 60  # whose requests share a part of the prompt
THINK_TIME_S = (0.0, 0.1)
KEPT_CONNECTIONS_SHARE = 0.7
PATHS = {
    STREAM: ("/chat/1", "POST"),
    UNSAFE: ("/issue/1", "POST"),
    SAFE: ("/read/1", "GET"),
}
LIMITS_S = {STREAM: DEADLINE_S, UNSAFE: 1.5, SAFE: 1.5}  # 1.5 s is a route's time-out
API_KEYS = {"t1": "k1", "t2": "k2"}


@define(eq=False)
class Traffic:
    """A set of callers, each on its own thread, that run until stopped."""

    testbed: Testbed
    seed: int
    caller_count: int
    request_numbers: itertools.count = field(factory=itertools.count)
    stopping: threading.Event = field(factory=threading.Event)
    threads: list[threading.Thread] = field(factory=list)

    def start(self) -> None:
        """Start all callers."""
        for number in range(self.caller_count):
            thread = threading.Thread(
                target=self.run_caller, args=(number,), daemon=True
            )
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        """Stop the callers after their current requests."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def run_caller(self, number: int) -> None:
        """Send requests in a loop, with a random pause between them."""
        rng = random.Random(f"{self.seed}/caller/{number}")
        clients = [Client(host.caller_link.address) for host in self.testbed.hosts]
        while not self.stopping.wait(rng.uniform(*THINK_TIME_S)):
            host, client = rng.choice(list(zip(self.testbed.hosts, clients)))
            kind, account = rng.choice(list(PATHS)), rng.choice(list(API_KEYS))
            self.request_once(host, kind, account, client)
            if rng.random() > KEPT_CONNECTIONS_SHARE:
                client.close()
        for client in clients:
            client.close()

    def request_once(
        self, host: HostProcess, kind: str, account: str, client: Client
    ) -> CallResult:
        """Send one request to a host and record the result."""
        number = next(self.request_numbers)
        request = f"{kind}-{number}"
        path, method = PATHS[kind]
        streams = kind == STREAM
        key = API_KEYS[account]
        parts = f"aa:600,{number % SESSIONS:x}b:900,{number:x}c:100"
        data = encode_request(request, path, method, key, DEADLINE_S, streams, parts)
        sent_s = now_s()
        exchange = client.exchange(data, CALL_TIMEOUT_S)
        call = CallResult(
            request,
            kind,
            host.name,
            sent_s,
            now_s() - sent_s,
            account=account,
            ending=exchange.ending,
            limit_s=LIMITS_S[kind],
        )
        if exchange.message is not None and exchange.message.head_complete:
            call = read_answer(call, exchange.message)
        self.testbed.history.record_call(call)
        return call


def read_answer(call: CallResult, message: ResponseMessage) -> CallResult:
    """Return the call result completed from an answer."""
    echoed, signed_by = read_answer_identity(message)
    return evolve(
        call,
        status=message.status,
        complete=message.complete,
        echoed_request=echoed,
        signed_by=signed_by,
        body=message.body,
    )


def request_route(host: HostProcess, route: str) -> int | None:
    """Send one request to a route; return its status, ``None`` without an answer."""
    request = f"{STREAM}-{route}-{host.name}"
    path, key = f"/{route}/1", API_KEYS["t1"]
    data = encode_request(request, path, "POST", key, DEADLINE_S, True)
    client = Client(host.caller_link.address)
    message = client.exchange(data, DEADLINE_S).message
    client.close()
    return None if message is None else message.status

"""Requests that a host reads while it stops are answered, or refused as not run.

The process is ended by SIGKILL at the end of its grace period, as its platform does.
"""

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress

import pytest
from attrs import define

from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.tests.deployment import wait_for
from rosemaryyoke.platform.tests.stopping_host import (
    SAFE,
    STREAM,
    UNSAFE,
    Caller,
    StoppingHost,
    encode,
)

SHORT_GRACE_S, LONG_GRACE_S = 2.0, 4.0
STEPS = 12  # of a grace period, at each of which requests of all forms are sent
SENDERS = 256
LOSS_SLACK_S = 0.2  # of the platform: what crosses a close is not lost
SUSPENDED_S, LATE_S = 2.0, 2.5


def send(host, *arguments, **options):
    """Send a request on a connection of its own, and return its caller."""
    return Caller(host.address).send(encode(*arguments, **options))


def outcome(caller):
    """Return the status that a caller got, or how its connection ended without one."""
    answers = caller.read()
    caller.close()
    return answers[0].status if answers and answers[0].complete else caller.ending


# Guards against requests that are cut with no answer at the end of the grace period.
def test_request_that_outlasts_the_host_is_answered(tmp_path):
    with StoppingHost(tmp_path, SHORT_GRACE_S) as host:
        before = [send(host, kind, f"{kind}-0", 9) for kind in (SAFE, UNSAFE)]
        host.begin_stop()
        during = [send(host, kind, f"{kind}-1", 9) for kind in (SAFE, UNSAFE)]
        silent = send(host, STREAM, "silent", 9, Quiet=1)
        begun = send(host, STREAM, "begun", 9)
        # They have run, so that the answer may not promise that they have not.
        assert [outcome(caller) for caller in (*before, *during, silent)] == [502] * 5
        (answer,) = begun.read()
        assert answer.status == 200 and not answer.complete
        assert host.popen.wait() == 0


# Guards against a host that takes requests as if SIGTERM came when it noticed it.
def test_host_that_was_suspended_at_sigterm_ends_in_time(tmp_path):
    with StoppingHost(tmp_path, LONG_GRACE_S) as host:
        running = send(host, SAFE, "running", 9)
        wait_for(host.ran)
        host.signal(signal.SIGSTOP)
        host.begin_stop()
        host.wait_until(SUSPENDED_S)
        host.signal(signal.SIGCONT)
        host.wait_until(LATE_S)
        late = [send(host, kind, f"{kind}-0", LONG_GRACE_S) for kind in (SAFE, UNSAFE)]
        outcomes = [outcome(caller) for caller in late]
        assert host.popen.wait() == 0
        assert outcomes == [503, 503] and host.ran() == {"running"}
        assert outcome(running) == 502


# Guards against requests that are read behind another one, and dropped with it.
@pytest.mark.parametrize("kind", (SAFE, UNSAFE, STREAM))
def test_requests_ahead_on_a_connection_are_answered(tmp_path, kind):
    with StoppingHost(tmp_path, SHORT_GRACE_S) as host:
        together, late = Caller(host.address), Caller(host.address)
        late.send(encode(kind, "late-1", 0.6, Quiet=1))
        wait_for(host.ran)
        host.begin_stop()
        host.wait_until(0.2)
        together.send(b"".join(encode(kind, f"{kind}-{n}", 0.05) for n in range(3)))
        late.send(encode(kind, "late-2", 0.05))
        assert [answer.status for answer in together.read(3)] == [200] * 3
        assert all(answer.complete for answer in together.answers)
        assert not together.answers[-1].keep_alive
        assert len(late.read(2)) == 2 and late.answers[-1].complete


@define
class Sent:
    """A request of a sweep, and what its caller got."""

    name: str
    outcome: object = None
    began: bool = False
    retry_after: bytes | None = None
    waited_s: float = 0.0


def exchange(host, sent, at_s, head, body=b"", body_at_s=0.0):
    """Send a request at some time of the stop, the body later, and await its end."""
    host.wait_until(at_s)
    with suppress(OSError):
        caller = Caller(host.address)
        caller.send(head)
        host.wait_until(body_at_s)
        caller.send(body)
        sent.outcome = outcome(caller)
        sent.waited_s = caller.ended_s - caller.sent_s
        if caller.answers:
            sent.began = caller.answers[0].status == 200
            headers = caller.answers[0].headers
            sent.retry_after = find_header(headers, b"retry-after")


def sweep(host, grace_s):
    """Return the requests of all forms to send through a stop, with their times."""
    for step in range(-1, STEPS):
        at_s = step * grace_s / STEPS
        runs_s = (0.05, 0.4 * grace_s, grace_s - at_s - 0.5, 2 * grace_s)
        for run_s in runs_s:
            for kind in (SAFE, UNSAFE, STREAM):
                name = f"{kind}-{step}-{run_s:.2f}"
                yield name, at_s, encode(kind, name, max(0.05, run_s)), b"", 0.0
        name = f"deadline-{step}"
        data = encode(UNSAFE, name, grace_s, deadline_s=grace_s / 4)
        yield name, at_s, data, b"", 0.0
        name = f"retried-{step}"
        data = encode(SAFE, name, 0.05, **{"Fail-S": grace_s / 2})
        yield name, at_s, data, b"", 0.0
        name = f"{STREAM}-paused-{step}"
        data = encode(STREAM, name, 0.6 * grace_s, **{"Pause-S": grace_s / 3})
        yield name, at_s, data, b"", 0.0
        name, body = f"body-{step}", b"x" * 100
        data = encode(UNSAFE, name, 0.05, body=body)
        cut = len(data) - 50
        yield name, at_s, data[:cut], data[cut:], at_s + grace_s / 3


# Guards against requests of any form that are taken late in a stop, and then cut.
@pytest.mark.parametrize("grace_s", (SHORT_GRACE_S, 8.0))
def test_every_request_read_during_a_stop_is_answered(tmp_path, grace_s):
    with StoppingHost(tmp_path, grace_s) as host, ThreadPoolExecutor(SENDERS) as pool:
        host.stop_s = time.monotonic() + grace_s / STEPS
        everything = []
        for name, at_s, *data in sweep(host, grace_s):
            everything.append(Sent(name))
            pool.submit(exchange, host, everything[-1], at_s, *data)
        host.wait_until(0)
        host.begin_stop()
        for number in (signal.SIGHUP, signal.SIGTERM):
            host.signal(number)
        assert host.popen.wait() == 0
        pool.shutdown(wait=True)
        ran = host.ran()
    unanswered = [sent for sent in everything if not is_allowed(sent, sent.name in ran)]
    assert unanswered == []
    assert {200, 502, 503} <= {sent.outcome for sent in everything}


def is_allowed(sent, ran):
    """Return whether a caller got a whole answer, or a refusal that is true."""
    if sent.outcome == 503:
        return not ran and sent.retry_after is not None
    if sent.outcome in (200, 502, 504):
        return ran
    if sent.name.startswith(STREAM) and sent.began:
        return sent.outcome == "closed"  # it outlasts the host
    # Not connected, or closed by the host before it read the request.
    unread = sent.outcome in (None, "reset") or sent.waited_s < LOSS_SLACK_S
    return not ran and unread

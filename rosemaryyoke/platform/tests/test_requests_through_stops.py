"""Requests that a host reads while it stops are answered, or refused as not run.

The process is ended by SIGKILL at the end of its grace period, as its platform does.
"""

import signal

import pytest

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

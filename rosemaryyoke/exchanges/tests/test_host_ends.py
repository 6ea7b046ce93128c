"""Attempts that end because the process does."""

import threading

import pytest

from rosemaryyoke.exchanges.attempt import AttemptFailed
from rosemaryyoke.exchanges.tests.builders import Sockets, make_attempt


@pytest.fixture()
def sockets():
    sockets = Sockets()
    yield sockets
    sockets.close()


# Guards against a request that is sent although its host can't await the answer.
def test_request_is_not_sent_once_the_host_ends(sockets):
    attempt = make_attempt(sockets)
    attempt.caller.end_with_host()
    outcome = attempt.run()
    assert isinstance(outcome, AttemptFailed) and outcome.host_ended
    assert not outcome.may_have_run
    assert sockets.upstream.recv(100) == b""


# Guards against a refusal, which promises that the request has not run, once sent.
def test_request_that_was_sent_may_have_run(sockets):
    attempt = make_attempt(sockets)

    def end():
        sockets.upstream.recv(100)
        attempt.caller.end_with_host()

    thread = threading.Thread(target=end)
    thread.start()
    outcome = attempt.run()
    thread.join()
    assert outcome.host_ended and outcome.may_have_run

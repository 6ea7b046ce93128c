"""Bytes on a kept connection that look like the response to the next request."""

import pytest

from rosemaryyoke.http1.messages import find_header
from rosemaryyoke.platform.standins.servers import (
    send_client_request,
    stream_headers,
)

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n%sContent-Length: 2\r\n"
    b"\r\nno"
)
STRAY_SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nOK"
ATTEMPTS = 8
KINDS = {
    "safe": ("/read/1", "GET", ()),
    "unsafe": ("/issue/1", "POST", ()),
    "streaming": ("/chat/1", "POST", stream_headers()),
}


class Engines:
    """Steps of upstreams that remember what they sent and ran on each connection."""

    def __init__(self):
        self.refused = {}
        self.runs = []

    def request_id(self, message):
        """Return the identifier of a request."""
        return find_header(message.headers, b"request-id")

    def run(self, engine, message, caller):
        """Run a request, and remember it."""
        self.runs.append(self.request_id(message))
        engine.run(message, caller)

    def write_first(self, stray):
        """Return a step that sends stray bytes before the response."""

        def step(engine, message, caller):
            caller.write(stray)
            self.run(engine, message, caller)

        return step

    def refuse(self, engine, message, caller):
        """Refuse a request, and remember the connection."""
        self.refused.setdefault(caller, []).append(self.request_id(message))
        engine.reply(message, caller, 503, [(b"Not-Executed", b"1")])

    def repeat_refusal(self, engine, message, caller):
        """Send an earlier refusal once more on its connection, and run the request."""
        for request in self.refused.get(caller, ())[-1:]:
            caller.write(REFUSAL % (b"Request-Id: %s\r\n" % request))
        self.run(engine, message, caller)

    def run_unsealed(self, engine, message, caller):
        """Run a request, and answer it without the seal."""
        self.runs.append(self.request_id(message))
        headers = [(b"Request-Id", self.request_id(message))]
        caller.send_response(200, b"OK", headers, b"unsealed")


@pytest.fixture()
def engines():
    return Engines()


def send(deployment, kind, request):
    """Send a request and return its response."""
    path, method, headers = KINDS[kind]
    return send_client_request(
        deployment.callers, path, method, headers, **{"Request-Id": request}
    ).responses[0]


def script(deployment, *steps):
    """Set the steps of each upstream."""
    for upstream in (*deployment.engines, *deployment.records):
        upstream.script = list(steps)


# Guards against refusals and successes that belong to no request, which callers are
# told while the request runs.
@pytest.mark.parametrize("stray", (REFUSAL % b"", STRAY_SUCCESS))
@pytest.mark.parametrize("kind", KINDS)
def test_stray_response_without_an_identifier_is_skipped(
    deployment, engines, kind, stray
):
    script(deployment, *[engines.run] * 2, *[engines.write_first(stray)] * ATTEMPTS)
    for number in range(ATTEMPTS):
        answer = send(deployment, kind, f"r{number}")
        assert answer.status == 200
        assert find_header(answer.headers, b"response-seal") == b"sealed"
    assert len(set(engines.runs)) == len(engines.runs) == ATTEMPTS


# Guards against a copy of a refusal that bears the identifier of the request itself.
@pytest.mark.parametrize("kind", KINDS)
def test_copy_of_the_refusal_of_a_request_is_not_its_response(
    deployment, engines, kind
):
    script(deployment, *[engines.run] * ATTEMPTS)
    for number in range(ATTEMPTS):
        send(deployment, kind, f"warm{number}")
    script(deployment, engines.refuse, *[engines.repeat_refusal] * ATTEMPTS)
    engines.runs.clear()
    for _ in range(3):  # the same request, as a host sends it again
        answer = send(deployment, kind, "r1")
        assert answer.status == 200 or b"r1" not in engines.runs
        if answer.status == 200:
            break
    assert engines.runs == [b"r1"]


@pytest.mark.parametrize("kind", ("safe", "unsafe"))
def test_success_without_a_seal_is_not_passed_on(deployment, engines, kind):
    script(deployment, *[engines.run_unsealed] * ATTEMPTS)
    answer = send(deployment, kind, "r1")
    assert answer.status == 502 and b"unsealed" not in answer.body
    assert len(engines.runs) == 1 or kind == "safe"


# Guards against a request told as not run by a response that can't be matched to it.
@pytest.mark.parametrize("kind", KINDS)
def test_request_whose_only_response_is_stray_is_not_told_as_not_run(
    deployment, engines, kind
):
    def write_and_close(engine, message, caller):
        engines.runs.append(engines.request_id(message))
        caller.write(REFUSAL % b"")
        raise OSError("connection closed")

    script(deployment, *[write_and_close] * ATTEMPTS)
    answer = send(deployment, kind, "r1")
    assert answer.status == 502
    assert len(engines.runs) == 1 or kind != "unsafe"

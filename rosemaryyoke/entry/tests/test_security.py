"""Guards against forged stream positions and malformed HTTP input.

A caller must not resume the stream of another account, alter a sealed position or
crash a host with arbitrary bytes.
"""

import socket

from hypothesis import given, settings, strategies as st

from rosemaryyoke.streams import StreamIdentifier, parse_position, sign_identifier
from rosemaryyoke.testing.builders import api_key, long_prompt
from rosemaryyoke.wire import json_request, send

KEY = "0123456789abcdef"
EXAMPLES = 500
HTTP_EXAMPLES = 200
IDENTIFIER = StreamIdentifier("e", "i", "r", "v1")


def test_stream_of_another_account_is_refused(system):
    url = f"http://{system.address('host0')}/v1/chat/completions"
    body = {
        "model": "m",
        "messages": [{"role": "user", "content": long_prompt("a")}],
        "max_tokens": 3,
    }
    headers = {"Authorization": f"Bearer {api_key('cedar')}"}
    stream = (
        send(json_request("POST", url, body, headers=headers)).unwrap().json()["id"]
    )
    stolen = {
        "Authorization": f"Bearer {api_key('tonos')}",
        "Last-Event-ID": f"{stream}:1",
    }
    answer = send(json_request("POST", url, body, headers=stolen)).unwrap()
    assert answer.status == 403


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(st.text(max_size=80))
def test_position_fuzz_is_refused(text):
    assert parse_position(text, "account", KEY) is None


@settings(max_examples=EXAMPLES, derandomize=True, deadline=None)
@given(st.data())
def test_position_changed_anywhere_is_refused(data):
    sealed = f"{sign_identifier(IDENTIFIER, 'account', KEY)}:3"
    place = data.draw(st.integers(0, sealed.index(":") - 1))
    other = data.draw(st.sampled_from("abcXYZ019_-."))
    changed = sealed[:place] + other + sealed[place + 1 :]
    if changed != sealed:
        assert parse_position(changed, "account", KEY) is None


def test_position_sealed_for_account_is_read():
    position = parse_position(f"{sign_identifier(IDENTIFIER, 'a', KEY)}:3", "a", KEY)
    assert (position.identifier, position.received) == (IDENTIFIER, 3)


@settings(max_examples=HTTP_EXAMPLES, derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_http_fuzz_leaves_the_host_alive(system, data):
    host, port = system.address("host2").split(":")
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(data + b"\r\n\r\n")
        connection.shutdown(socket.SHUT_WR)
        answer = connection.recv(65536)
    assert not answer or answer.startswith(b"HTTP/1.1 ")


def test_host_answers_after_the_fuzzing(system):
    assert system.client(host="host2").chat("m", "hello", 2).is_ok()

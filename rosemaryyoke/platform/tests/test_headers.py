"""Tests of headers sent to upstreams and of headers callers may not set."""

import pytest

from rosemaryyoke.exchanges.messages import (
    ForwardingOptions,
    MalformedRequestHeaders,
    PromptPart,
)
from rosemaryyoke.http1 import Address
from rosemaryyoke.platform.headers import PlatformDialect

DIALECT = PlatformDialect()
ASKED = [
    (b"Host", b"a.example"),
    (b"Request-Id", b"r1"),
    (b"Model", b"m1"),
    (b"Token-Count", b"1460,80"),
    (b"Prompt-Prefix", b"5c1e:800,91bd:410"),
    (b"Deadline-Ms", b"5000"),
    (b"Authorization", b"Bearer k1"),
    (b"Last-Event-Id", b"12"),
    (b"X-Other", b"kept"),
]
FORGED = [
    (b"Tenant", b"other"),
    (b"Cache-Salt", b"other"),
    (b"Hold", b"h"),
    (b"Pin-Ms", b"9"),
    (b"Kv-From", b"1.2.3.4:5/x"),
    (b"Kv-Backup", b"1.2.3.4:5"),
    (b"Kv-Fetch", b"1.2.3.4:5"),
    (b"request-priority", b"0"),
    (b"EXPECT-VERSION", b"9"),
]


def test_ask_read():
    ask = DIALECT.parse_request_headers(ASKED)
    assert (ask.request_id, ask.key, ask.deadline_s) == (b"r1", "k1", 5.0)
    assert ask.parts == (PromptPart("5c1e", 800), PromptPart("91bd", 410))
    assert (ask.output_tokens, ask.last_event_id) == (80, b"12")


@pytest.mark.parametrize(
    "header", [(b"Deadline-Ms", b"soon"), (b"Prompt-Prefix", b"5c1e")]
)
def test_ask_malformed(header):
    with pytest.raises(MalformedRequestHeaders):
        DIALECT.parse_request_headers([header])


# Guards against a quota that counts another size than the two numbers of the header.
@pytest.mark.parametrize(
    ("value", "tokens"),
    [
        (b"1460,80", 1540),
        (b" 1460 , 80 ", 1540),
        (b"1460", 1460),
        (b"", None),
        (b"-5,80", None),
        (b"many,80", None),
        (b"9" * 40 + b",1", None),
    ],
)
def test_counted_tokens(value, tokens):
    ask = DIALECT.parse_request_headers([(b"Token-Count", value)])
    assert ask.counted_tokens == tokens


def test_counted_tokens_without_the_header():
    assert DIALECT.parse_request_headers([]).counted_tokens is None


def test_forwarded_headers_are_the_routers_own():
    directive = ForwardingOptions(
        "i-1", 1.25, account="t1", weights_version=3, last_event_id=b"12"
    )
    sent = dict(DIALECT.forward_headers(ASKED + FORGED, directive))
    assert sent == {
        b"Host": b"a.example",
        b"Request-Id": b"r1",
        b"Model": b"m1",
        b"Token-Count": b"1460,80",
        b"Prompt-Prefix": b"5c1e:800,91bd:410",
        b"X-Other": b"kept",
        b"Expect-Instance": b"i-1",
        b"Deadline-Ms": b"1250",
        b"Tenant": b"t1",
        b"Expect-Version": b"3",
        b"Last-Event-Id": b"12",
    }


def test_forwarded_cache_directives():
    address = Address("10.0.0.1", 80)
    directive = ForwardingOptions(
        "i-1", 1.0, cache_salt=b"s:1", fetch_from=address, save_to=address
    )
    sent = dict(DIALECT.forward_headers([], directive))
    assert sent[b"Cache-Salt"] == b"s:1"
    assert sent[b"Kv-Fetch"] == sent[b"Kv-Save"] == b"10.0.0.1:80"


@pytest.mark.parametrize(
    "value, leaving", [(b"1", True), (b"1 \t", True), (b"0", False), (b"", False)]
)
def test_announced_leaving(value, leaving):
    for status in (200, 500, 503):
        headers = [(b"server-leaving", value)]
        assert DIALECT.parse_response_headers(status, headers).leaving is leaving
    assert not DIALECT.parse_response_headers(200, []).leaving


@pytest.mark.parametrize(
    "value, seconds", [(b"2", 2.0), (b"0.25 ", 0.25), (b".5", 0.5), (b"0", 0.0)]
)
def test_retry_after_of_refusals(value, seconds):
    read = DIALECT.parse_response_headers(503, [(b"retry-after", value)])
    assert (read.retry_after_s, read.malformed_retry_after) == (seconds, None)


@pytest.mark.parametrize(
    "value",
    [b"", b"soon", b"-1", b"nan", b"inf", b"1e3", b"1_0", b"2 s", b"9" * 400]
    + [b"Fri, 31 Dec 1999 23:59:59 GMT"],
)
def test_malformed_retry_after(value):
    read = DIALECT.parse_response_headers(503, [(b"Retry-After", value)])
    assert (read.retry_after_s, read.malformed_retry_after) == (None, value)


@pytest.mark.parametrize("status", [200, 421, 429, 500, 504])
def test_retry_after_of_other_answers_is_not_read(status):
    for value in (b"2", b"soon"):
        read = DIALECT.parse_response_headers(status, [(b"Retry-After", value)])
        assert read.retry_after_s is read.malformed_retry_after is None


@pytest.mark.parametrize("status", [200, 421, 429, 500, 503, 504])
@pytest.mark.parametrize(
    "value, rate",
    [(b"0", 0.0), (b"0.25", 0.25), (b" 2.5 ", 2.5), (b".5", 0.5), (b"1e9", 1e9)],
)
def test_limit_of_all_answers(status, value, rate):
    read = DIALECT.parse_response_headers(status, [(b"server-limit", value)])
    assert (read.limit_per_s, read.malformed_limit) == (rate, None)


@pytest.mark.parametrize(
    "values",
    [[b""], [b"nan"], [b"-1"], [b"inf"], [b"1e999"], [b"2/s"], [b"0x2"], [b"1_0"]]
    + [[b"2", b"3"], [b"2", b"2"]],
)
def test_malformed_limit(values):
    headers = [(b"Server-Limit", value) for value in values]
    read = DIALECT.parse_response_headers(200, headers)
    assert (read.limit_per_s, read.malformed_limit) == (None, b", ".join(values))


def test_facts_of_refusals():
    assert DIALECT.parse_response_headers(503, [(b"Not-Executed", b"1")]).not_run
    assert DIALECT.parse_response_headers(421, []).not_run
    assert not DIALECT.parse_response_headers(503, []).not_run
    assert (
        DIALECT.parse_response_headers(
            200, [(b"Weight-Versions", b"4")]
        ).weights_version
        == 4
    )


# Guards against a number that the log can't write, which ended its thread.
def test_weights_version_out_of_range_is_ignored():
    headers = [(b"Weight-Versions", b"9" * 20)]
    assert DIALECT.parse_response_headers(200, headers).weights_version is None

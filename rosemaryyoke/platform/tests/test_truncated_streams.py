"""A stream that its engine broke off is not ended as complete.

Pattern: engines crash while they send streams without length or chunks, so that nothing
but the connection's end follows the last bytes.
"""

import pytest

from rosemaryyoke.platform.standins.documents import make_configuration, make_route
from rosemaryyoke.platform.standins.servers import (
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.deployment import (
    script_all,
    send_chunked,
    send_close_delimited,
    send_with_length,
    wait_for,
)
from rosemaryyoke.platform.tests.test_stalled_engines import runs

TWO_EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
ALL_EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))
LINE_ENDS = [b"\n", b"\r\n", b"\r"]
PARTIAL_EVENTS = [b"i", b"id: 3", b"id: 3\n", b"id: 3\nda", b"id: 3\ndata: x\n"]
FRAMINGS = [send_close_delimited, send_chunked, send_with_length]


def with_line_end(events, line_end):
    """Return events with another line end."""
    return events.replace(b"\n", line_end)


@pytest.fixture()
def draft_path(deployment):
    """Return a path whose streams run at most once."""
    draft = make_route("draft", resumable=False, maxAttempts=1)
    routes = [make_route(), draft]
    deployment.store.set("config", "main", make_configuration(2, routes))
    wait_for(lambda: deployment.host.catalog.configuration.version == 2)
    return "/draft/1"


def send_draft(deployment, path):
    """Send a request that may run once and return its response."""
    reader = send_client_request(deployment.callers, path, headers=stream_headers())
    return reader.responses[0]


# Guards against a truncated stream that its caller gets as complete.
@pytest.mark.parametrize("send", FRAMINGS)
@pytest.mark.parametrize("partial", PARTIAL_EVENTS)
def test_stream_ended_within_an_event_is_resumed(deployment, send, partial):
    script_all(deployment.engines, send(TWO_EVENTS + partial))
    answer = deployment.stream().responses[0]
    assert answer.complete and answer.body == ALL_EVENTS
    assert runs(deployment.engines) == 2


# Guards against the same where no engine goes on.
@pytest.mark.parametrize("send", FRAMINGS)
def test_stream_ended_within_an_event_everywhere_is_cut(deployment, send):
    script_all(
        deployment.engines,
        send(TWO_EVENTS + b"id: 3\nda"),
        send(b"id: 3\ndata: x\n\nid: 4\nd"),
    )
    answer = deployment.stream().responses[0]
    assert answer.status == 200 and not answer.complete
    assert answer.body == TWO_EVENTS + b"id: 3\ndata: x\n\n"


# Guards against the same where the request may run once only.
@pytest.mark.parametrize("send", FRAMINGS)
def test_stream_that_runs_once_is_cut_when_it_ends_within_an_event(
    deployment, draft_path, send
):
    script_all(deployment.engines, send(TWO_EVENTS + b"id: 3\nda"))
    answer = send_draft(deployment, draft_path)
    assert answer.status == 200 and not answer.complete
    assert answer.body == TWO_EVENTS
    assert runs(deployment.engines) == 1


# Guards against a success that consists of part of one event.
def test_stream_ended_within_its_first_event_is_sent_again(deployment):
    script_all(deployment.engines, send_close_delimited(b"id: 1\nda"))
    answer = deployment.stream().responses[0]
    assert answer.complete and answer.body == ALL_EVENTS


# Guards against a success that consists of part of one event, where nobody goes on.
def test_stream_that_runs_once_fails_when_it_ends_within_its_first_event(
    deployment, draft_path
):
    script_all(deployment.engines, send_close_delimited(b"id: 1\nda"))
    answer = send_draft(deployment, draft_path)
    assert answer.complete and answer.status == 502


# Guards against a crash before the first event that is taken for an empty stream.
def test_close_delimited_stream_without_events_is_sent_again(deployment):
    script_all(deployment.engines, send_close_delimited(b""))
    answer = deployment.stream().responses[0]
    assert answer.complete and answer.body == ALL_EVENTS


# Guards against a crash before the first event of a resumed stream, taken for its end.
def test_close_delimited_resumption_without_events_is_no_end(deployment):
    script_all(
        deployment.engines,
        send_close_delimited(TWO_EVENTS + b"id: 3\nda"),
        send_close_delimited(b""),
    )
    answer = deployment.stream().responses[0]
    assert not answer.complete and answer.body == TWO_EVENTS


# Guards against whole streams that are cut or sent again.
@pytest.mark.parametrize("line_end", LINE_ENDS)
@pytest.mark.parametrize("send", FRAMINGS)
def test_whole_stream_is_delivered_as_it_is(deployment, send, line_end):
    events = with_line_end(ALL_EVENTS, line_end)
    script_all(deployment.engines, send(events))
    answer = deployment.stream().responses[0]
    assert answer.complete and answer.body == events
    assert runs(deployment.engines) == 1


# Guards against line ends other than a line feed, whose events were not recognized.
@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_stream_is_resumed_after_its_last_event_whatever_its_line_ends(
    deployment, line_end
):
    events = with_line_end(TWO_EVENTS, line_end)
    partial = with_line_end(b"id: 3\ndata: x\n", line_end)
    script_all(deployment.engines, send_close_delimited(events + partial))
    answer = deployment.stream().responses[0]
    rest = ALL_EVENTS[len(TWO_EVENTS) :]
    assert answer.complete and answer.body == events + rest


# Guards against a comment behind the last event that is taken for part of an event.
def test_comments_behind_the_last_event_are_no_part_of_an_event(deployment):
    script_all(deployment.engines, send_close_delimited(ALL_EVENTS + b": end\n"))
    answer = deployment.stream().responses[0]
    assert answer.complete and runs(deployment.engines) == 1


# Guards against a reset of an answer without framing that is taken for its end.
def test_close_delimited_stream_that_is_reset_is_not_complete(deployment, draft_path):
    script_all(deployment.engines, send_close_delimited(TWO_EVENTS, reset=True))
    answer = send_draft(deployment, draft_path)
    assert not answer.complete


# Guards against a plain answer without framing that is refused, or complete by a reset.
@pytest.mark.parametrize("size", [0, 4, 100_000, 1_000_000])
@pytest.mark.parametrize("reset, status", [(False, 200), (True, 502)])
def test_plain_close_delimited_answer_ends_with_its_connection(
    deployment, reset, status, size
):
    body = b"x" * size
    script_all(deployment.records, send_close_delimited(body, reset))
    answer = send_client_request(deployment.callers, "/issue/1").responses[0]
    assert answer.complete and answer.status == status
    assert status != 200 or answer.body == body


# Guards against a stream that ends at the event which names new weights.
def test_event_that_names_new_weights_is_passed_on(deployment):
    events = b"id: 1\ndata: x\n\nweight-versions: 2\nid: 2\ndata: x\n\n"
    script_all(deployment.engines, send_chunked(events))
    answer = deployment.stream().responses[0]
    assert answer.complete and bytes(answer.body) == events

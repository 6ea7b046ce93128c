"""Checks that logs alone show the cause of a failed request."""

import socket
import time
from concurrent.futures import ThreadPoolExecutor

from rosemaryyoke.platform.standins.servers import (
    read_answer,
    send_client_request,
    stream_headers,
)
from rosemaryyoke.platform.tests.deployment import (
    abort_after,
    run_and_drop_answer,
    script_all,
    send_chunked,
    send_close_delimited,
    wait_for,
)


def test_cause_of_a_refusal_is_in_the_logs(deployment, logged):
    script_all(deployment.records, 503, 503, 503, 503)
    send_client_request(deployment.callers, "/issue/1", **{"Request-Id": "c1"})
    events = logged("c1")
    assert [event.message for event in events][-1] == "refused"
    assert events[-1].fields["code"] == "no_upstream"
    failed = [event for event in events if event.message == "attempt failed"]
    assert failed and all(event.fields["not_run"] for event in failed)


def test_cause_of_a_cut_stream_is_in_the_logs(deployment, logged):
    script_all(deployment.engines, abort_after(2), abort_after(3))
    deployment.stream(**{"Request-Id": "c2"})
    events = logged("c2")
    assert [event.message for event in events] == [
        "placed",
        "crash reported",
        "upstream silent",
        "attempt failed",
        "placed",
        "crash reported",
        "upstream silent",
        "attempt failed",
        "stream cut",
    ]
    reasons = [event.fields.get("reason", "") for event in events]
    assert any("closed" in reason or "lost" in reason for reason in reasons)


# Guards against a cut stream whose line does not say that the budget stopped the retry.
def test_what_stopped_the_retry_of_a_cut_stream_is_in_the_logs(deployment, logged):
    script_all(deployment.engines, abort_after(2), 200)
    deployment.host.budget.ratio = deployment.host.budget.slack = 0.0
    deployment.stream(**{"Request-Id": "c8"})
    cut = logged("c8")[-1]
    assert cut.message == "stream cut"
    assert cut.fields["not_retried"] == "retry budget empty"


# Guards against a crash of engines that the logs can't lay to a part of a prompt.
def test_parts_of_a_prompt_are_in_the_logs(deployment, logged):
    script_all(deployment.engines, abort_after(0), abort_after(1))
    deployment.stream(**{"Request-Id": "c7"})
    events = [item for item in logged("c7") if "parts" in item.fields]
    messages = [event.message for event in events]
    assert messages == ["placed", "crash reported", "attempt failed"] * 2
    assert all(event.fields["parts"] == ["aa", "bb"] for event in events)
    ages_ms = [item.fields["head_age_ms"] for item in events[2::3]]
    assert ages_ms[0] is None and ages_ms[1] < 1_000


# Guards against crashes of engines that the logs can't lay to one repeated request.
def test_fingerprint_of_a_request_is_in_the_logs(deployment, logged):
    script_all(deployment.records, *[run_and_drop_answer] * 6)
    for request, body in (("c8", b"x"), ("c9", b"x"), ("c10", b"y")):
        send_client_request(
            deployment.callers, "/issue/1", body=body, **{"Request-Id": request}
        )
    first, second, other = (
        [item.fields["fingerprint"] for item in logged(request) if is_failure(item)]
        for request in ("c8", "c9", "c10")
    )
    assert first and first == second and other != first


def is_failure(event):
    """Return whether an event is an attempt without a response."""
    return event.message == "attempt failed"


# Guards against a stream of two software versions that the logs can't show.
def test_software_versions_of_a_resumed_stream_are_in_the_logs(deployment, logged):
    script_all(deployment.engines, abort_after(2))
    headers = {"Request-Id": "c11", "Last-Event-Id": "1", "Resumes": "c0"}
    deployment.stream(**headers)
    placed = [item.fields for item in logged("c11") if item.message == "placed"]
    assert [fields["software"] for fields in placed] == ["v1", "v1"]
    assert [fields["resumed_from"] for fields in placed] == ["1", "2"]
    assert {fields["resumes"] for fields in placed} == {"c0"}


# Guards against KV cache of other weights that the logs can't lay to a placement.
def test_versions_of_weights_are_in_the_logs(deployment, logged):
    deployment.stream(**{"Request-Id": "c12"})
    events = logged("c12")
    placed, answered = events[0].fields, events[-1].fields
    assert (placed["expected_weights"], placed["cache_salt"]) == (1, "s:1")
    assert (placed["fetch_from"], placed["save_to"]) == ("127.0.0.1:9",) * 2
    assert answered["weights"] == 1


# Guards against an ended stream whose log line does not tell what its engine sent.
def test_end_of_an_answered_stream_is_in_the_logs(deployment, logged):
    events = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
    cases = [
        ("c5", send_close_delimited(events), "connection", "closed"),
        ("c6", send_chunked(events), "chunked", "open"),
    ]
    for request, step, framing, connection in cases:
        script_all(deployment.engines, step)
        deployment.stream(**{"Request-Id": request})
        fields = logged(request)[-1].fields
        assert (fields["framing"], fields["connection"]) == (framing, connection)
        assert (fields["events"], fields["partial_event_bytes"]) == (2, 0)


def test_cause_of_an_unknown_outcome_is_in_the_logs(deployment, logged):
    script_all(deployment.records, run_and_drop_answer)
    send_client_request(deployment.callers, "/issue/1", **{"Request-Id": "c3"})
    placed, crash, silent, failed, refused = logged("c3")
    assert crash.message == "crash reported"
    assert silent.message == "upstream silent"
    assert failed.fields["may_have_run"] and refused.fields["status"] == 502
    assert placed.fields["upstream"] == failed.fields["upstream"]


def test_cause_of_a_stream_cut_for_lack_of_upstreams_is_in_the_logs(deployment, logged):
    script_all(deployment.engines, abort_after(2), 503)
    deployment.stream(**{"Request-Id": "c4"})
    last = logged("c4")[-1]
    assert last.message == "stream cut"
    assert last.fields["cause"] == "no upstream"
    assert last.fields["events"] == 2 and last.fields["left_ms"] > 0
    count = deployment.host.metrics.value
    assert count("requests_ended_total", cause="stream cut: no upstream") == 1


def test_caller_that_leaves_is_in_the_logs(deployment, logged):
    script_all(deployment.engines, lambda engine, message, caller: time.sleep(0.5))
    address, lines = deployment.callers, ["POST /chat/1 HTTP/1.1", "Host: a.example"]
    lines += ["Request-Id: c5", "Authorization: Bearer k1", "Content-Length: 0"]
    lines += [f"{key}: {value}" for key, value in stream_headers()]
    with socket.create_connection((address.ip, address.port)) as connection:
        connection.sendall("\r\n".join([*lines, "", ""]).encode())
        wait_for(lambda: any(engine.received for engine in deployment.engines))
    count = deployment.host.metrics.value
    wait_for(lambda: count("requests_ended_total", cause="caller closed"))
    placed, left = logged("c5")
    assert left.message == "caller left" and left.fields["sends"] == 1
    assert left.fields["upstream"] == placed.fields["upstream"]


def test_request_rejected_at_shutdown_is_in_the_logs(deployment, logged):
    deployment.host.kernel.get("callers").reject_new_requests()
    answer = deployment.stream(**{"Request-Id": "c6"}).responses[0]
    assert answer.status == 503 and dict(answer.headers)[b"Request-Id"] == b"c6"
    (refused,) = logged("c6")
    assert refused.fields["code"] == "leaving"


def test_request_aborted_at_the_end_of_a_shutdown_is_in_the_logs(deployment, logged):
    slow = [lambda engine, message, caller: time.sleep(3.0)] * 2
    script_all(deployment.engines, *slow)
    with ThreadPoolExecutor(1) as pool:
        options = {"Request-Id": "c8", "Deadline-Ms": "2900"}
        pool.submit(deployment.stream, **options)
        wait_for(lambda: any(engine.received for engine in deployment.engines))
        deployment.host.shut_down()
    aborted = [event for event in logged("c8") if event.message == "request aborted"]
    assert [event.fields["cause"] for event in aborted] == ["shutdown"]


# An answer that names another request must not be taken for that one's.
def test_error_on_a_kept_connection_does_not_name_the_previous_request(deployment):
    address = deployment.callers
    lines = ["GET /read/1 HTTP/1.1", "Host: a.example", "Authorization: Bearer k1"]
    request = "\r\n".join([*lines, "Request-Id: c7", "", ""]).encode()
    with socket.create_connection((address.ip, address.port)) as connection:
        connection.sendall(request)
        assert read_answer(connection).responses[0].status == 200
        connection.sendall(b"not a request\r\n\r\n")
        error = read_answer(connection).responses[0]
    assert error.status == 400 and b"Request-Id" not in dict(error.headers)

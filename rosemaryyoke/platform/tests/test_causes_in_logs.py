"""Checks that logs alone show the cause of a failed request."""

from rosemaryyoke.platform.standins.servers import (
    send_client_request,
)
from rosemaryyoke.platform.tests.deployment import (
    abort_after,
    run_and_drop_answer,
    script_all,
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
        "upstream silent",
        "attempt failed",
        "placed",
        "upstream silent",
        "attempt failed",
        "stream cut",
    ]
    reasons = [event.fields.get("reason", "") for event in events]
    assert any("closed" in reason or "lost" in reason for reason in reasons)


def test_cause_of_an_unknown_outcome_is_in_the_logs(deployment, logged):
    script_all(deployment.records, run_and_drop_answer)
    send_client_request(deployment.callers, "/issue/1", **{"Request-Id": "c3"})
    placed, silent, failed, refused = logged("c3")
    assert silent.message == "upstream silent"
    assert failed.fields["may_have_run"] and refused.fields["status"] == 502
    assert placed.fields["upstream"] == failed.fields["upstream"]

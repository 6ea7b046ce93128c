import orjson

from rosemaryyoke.core import EventRecorder
from rosemaryyoke.core.hlc import HybridClock, Timestamp
from rosemaryyoke.timeline import merge_events, page_html, trace_json


def answer(process, *events):
    return {
        "process": process,
        "events": [
            {
                "time": {"wall_us": wall, "counter": counter},
                "kind": kind,
                "request": "r",
                "detail": {},
            }
            for wall, counter, kind in events
        ],
    }


def test_merge_orders_by_clock():
    one = answer("a", (5, 1, "later"), (9, 0, "last"))
    two = answer("b", (5, 0, "first"))
    kinds = [event.kind for event in merge_events([one, two])]
    assert kinds == ["first", "later", "last"]


def test_trace_has_a_lane_for_each_process():
    events = merge_events([answer("a", (1, 0, "x")), answer("b", (2, 0, "y"))])
    items = orjson.loads(trace_json(events))["traceEvents"]
    assert [item["pid"] for item in items if item["ph"] == "i"] == [1, 2]


def test_page_cannot_be_ended_by_an_event():
    events = merge_events([answer("</script><b>", (1, 0, "x"))])
    assert "</script><b>" not in page_html(events)


def test_clock_follows_what_it_saw():
    clock = HybridClock(wall_clock=lambda: 1.0)
    seen = Timestamp(5_000_000, 3)
    assert clock.observe(seen) == Timestamp(5_000_000, 4)
    assert clock.now() > Timestamp(5_000_000, 4)


def test_recorder_keeps_the_latest():
    recorder = EventRecorder("p", capacity=2)
    for number in range(3):
        recorder.record("request.began", str(number))
    assert [event.request for event in recorder.snapshot()] == ["1", "2"]


def test_timeline_command_shows_why_a_host_left(system, tmp_path):
    host = system.address("host0")
    arguments = ("--host", host, "--key-file", str(system.key_file))
    page, trace = tmp_path / "page.html", tmp_path / "trace.json"
    system.client().service("POST", "records", "/issue", {}, "timeline-key").unwrap()
    outputs = ("--html", str(page), "--trace", str(trace))
    done = system.command("timeline", *arguments, *outputs)
    assert done.returncode == 0, done.stderr
    assert "timeline-key" in page.read_text()
    names = {item["name"] for item in orjson.loads(trace.read_bytes())["traceEvents"]}
    assert {"claim.made", "service.sent", "rules.in_force"} <= names

import orjson

from rosemaryyoke.core import EventRecorder
from rosemaryyoke.core.hlc import HybridClock, Timestamp
from rosemaryyoke.timeline import encode_trace, merge_events, render_page


def make_response(process, *events):
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
    one = make_response("a", (5, 1, "later"), (9, 0, "last"))
    two = make_response("b", (5, 0, "first"))
    kinds = [event.kind for event in merge_events([one, two])]
    assert kinds == ["first", "later", "last"]


def test_trace_assigns_id_per_process():
    events = merge_events(
        [make_response("a", (1, 0, "x")), make_response("b", (2, 0, "y"))]
    )
    items = orjson.loads(encode_trace(events))["traceEvents"]
    assert [item["pid"] for item in items if item["ph"] == "i"] == [1, 2]


def test_page_escapes_script_end_tag():
    events = merge_events([make_response("</script><b>", (1, 0, "x"))])
    assert "</script><b>" not in render_page(events)


def test_clock_follows_received_timestamp():
    clock = HybridClock(wall_clock=lambda: 1.0)
    seen = Timestamp(5_000_000, 3)
    assert clock.observe(seen) == Timestamp(5_000_000, 4)
    assert clock.now() > Timestamp(5_000_000, 4)


def test_recorder_keeps_latest_events():
    recorder = EventRecorder("p", capacity=2)
    for number in range(3):
        recorder.record("request.began", str(number))
    assert [event.request for event in recorder.snapshot()] == ["1", "2"]


def test_timeline_command_writes_page_and_trace(system, tmp_path):
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

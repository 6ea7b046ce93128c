"""Logs that are bounded and never in a request's way."""

import io
import json
import logging
import os
import queue
import time

from rosemaryyoke.core.logs import (
    BURST_LINES,
    QUEUE_LINES,
    BoundedQueueHandler,
    LogWriter,
)


def make_record(message, **fields):
    record = logging.LogRecord("n", logging.INFO, "p.py", 1, message, (), None)
    record.fields = fields
    return record


def test_log_line_holds_its_fields():
    stream = io.StringIO()
    writer = LogWriter("h1", stream)
    writer.start()
    writer.handler.handle(make_record("placed", request="r1", key=b"b"))
    writer.drain(1.0)
    time.sleep(0.05)
    line = json.loads(stream.getvalue())
    assert (line["process"], line["message"]) == ("h1", "placed")
    assert (line["request"], line["key"]) == ("r1", "b")


def test_log_rate_is_bounded_and_drops_are_counted():
    handler = BoundedQueueHandler(queue.Queue())
    for number in range(int(BURST_LINES) + 500):
        handler.handle(make_record("placed" if number % 2 else "answered"))
    dropped = handler.take_dropped()
    assert handler.queue.qsize() <= BURST_LINES + 100
    assert sum(dropped.values()) >= 400 and set(dropped) == {"placed", "answered"}


def test_log_reader_that_never_reads_blocks_nobody():
    reader, writer_end = os.pipe()
    writer = LogWriter("h1", os.fdopen(writer_end, "w"))
    writer.start()
    writer.handler.allowance = BURST_LINES * 10
    began_s = time.monotonic()
    for number in range(QUEUE_LINES * 3):
        writer.handler.allowance = BURST_LINES
        writer.handler.handle(make_record("placed", text="x" * 200))
    assert time.monotonic() - began_s < 2.0
    assert sum(writer.handler.dropped.values()) > 0
    os.close(reader)

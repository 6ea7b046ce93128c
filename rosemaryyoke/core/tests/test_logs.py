"""Tests of log rate limits and non-blocking writes."""

import io
import json
import logging
import os
import queue
import time

from rosemaryyoke.core.logs import (
    MAX_BURST_LINES,
    MAX_QUEUED_RECORDS,
    BoundedQueueHandler,
    LogWriter,
)


def make_record(message, **fields):
    record = logging.LogRecord("n", logging.INFO, "p.py", 1, message, (), None)
    record.fields = fields
    return record


def test_log_line_includes_fields():
    stream = io.StringIO()
    writer = LogWriter("h1", stream)
    writer.start()
    writer.handler.handle(make_record("placed", request="r1", key=b"b"))
    writer.drain(1.0)
    time.sleep(0.05)
    line = json.loads(stream.getvalue())
    assert (line["process"], line["message"]) == ("h1", "placed")
    assert (line["request"], line["key"]) == ("r1", "b")


def test_log_rate_limit_counts_drops():
    handler = BoundedQueueHandler(queue.Queue())
    for number in range(int(MAX_BURST_LINES) + 500):
        handler.handle(make_record("placed" if number % 2 else "answered"))
    dropped = handler.take_drop_counts()
    assert handler.queue.qsize() <= MAX_BURST_LINES + 100
    assert sum(dropped.values()) >= 400 and set(dropped) == {"placed", "answered"}


def test_stalled_log_reader_does_not_block_callers():
    reader, writer_end = os.pipe()
    writer = LogWriter("h1", os.fdopen(writer_end, "w"))
    writer.start()
    writer.handler.line_credit = MAX_BURST_LINES * 10
    began_s = time.monotonic()
    for number in range(MAX_QUEUED_RECORDS * 3):
        writer.handler.line_credit = MAX_BURST_LINES
        writer.handler.handle(make_record("placed", text="x" * 200))
    assert time.monotonic() - began_s < 2.0
    assert sum(writer.handler.dropped.values()) > 0
    os.close(reader)

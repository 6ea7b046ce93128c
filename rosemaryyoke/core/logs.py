"""Logs as JSON lines on standard output, bounded, and never in a request's way."""

import collections
import logging as standard_logging
import queue
import sys
import threading
import time
from logging.handlers import QueueHandler

import orjson
from absl import flags, logging

QUEUE_LINES = 2_000
LINES_PER_S = 400.0  # a host at its planned peak writes about 100
BURST_LINES = 1_000.0
DROPS_TOLD_EVERY_S = 5.0
KIND_LENGTH = 40


class JsonFormatter(standard_logging.Formatter):
    """Format a record as one JSON object."""

    def __init__(self, process: str):
        super().__init__()
        self.process = process

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the record as a JSON line."""
        line = {
            "time": round(record.created, 6),
            "level": record.levelname.lower(),
            "process": self.process,
            "module": record.module,
            "message": record.getMessage(),
        }
        line.update(getattr(record, "fields", None) or {})
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=show_value).decode()


def show_value(value: object) -> str:
    """Return a field's value that JSON has no form for."""
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)


class BoundedQueueHandler(QueueHandler):
    """Hands records to another thread; drops and counts those beyond the bounds."""

    def __init__(self, records: queue.Queue):
        super().__init__(records)
        self.dropped: collections.Counter[str] = collections.Counter()
        self.allowance = BURST_LINES
        self.refilled_s = time.monotonic()
        self.told_s = 0.0
        self.counting = threading.Lock()

    def prepare(self, record: standard_logging.LogRecord) -> standard_logging.LogRecord:
        """Return the record as it is; its arguments do not change later."""
        return record

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        with self.counting:
            if not self._allowed():
                self.dropped[str(record.msg)[:KIND_LENGTH]] += 1
                return
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            with self.counting:
                self.dropped[str(record.msg)[:KIND_LENGTH]] += 1

    def _allowed(self) -> bool:
        now_s = time.monotonic()
        earned = (now_s - self.refilled_s) * LINES_PER_S
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.refilled_s = now_s
        if self.allowance < 1.0:
            return False
        self.allowance -= 1.0
        return True

    def take_dropped(self) -> dict[str, int]:
        """Return how many records were dropped by kind, now and then."""
        now_s = time.monotonic()
        with self.counting:
            if not self.dropped or now_s - self.told_s < DROPS_TOLD_EVERY_S:
                return {}
            self.told_s = now_s
            dropped = dict(self.dropped)
            self.dropped.clear()
        return dropped


class LogWriter:
    """Owns the thread that writes the lines."""

    def __init__(self, process: str, stream) -> None:
        self.records: queue.Queue = queue.Queue(QUEUE_LINES)
        self.handler = BoundedQueueHandler(self.records)
        self.formatter = JsonFormatter(process)
        self.stream = stream
        self.idle = threading.Event()
        self.thread = threading.Thread(target=self.run, name="logs", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def run(self) -> None:
        """Write what is queued, several lines at a time."""
        while True:
            lines = [self.records.get()]
            while len(lines) < QUEUE_LINES and not self.records.empty():
                lines.append(self.records.get_nowait())
            text = "".join(f"{self.formatter.format(line)}\n" for line in lines)
            dropped = self.handler.take_dropped()
            if dropped:
                text += orjson.dumps({"message": "dropped", "kinds": dropped}).decode()
                text += "\n"
            try:
                self.stream.write(text)
                self.stream.flush()
            except (OSError, ValueError):
                return

    def drain(self, wait_s: float) -> None:
        """Wait a while until the queue is written."""
        until_s = time.monotonic() + wait_s
        while not self.records.empty() and time.monotonic() < until_s:
            time.sleep(0.01)


def event(message: str, /, **fields: object) -> None:
    """Log a decision or a change of belief with its inputs as fields."""
    logging.get_absl_logger().info(message, extra={"fields": fields}, stacklevel=2)


def set_up_logs(process: str, level: str) -> LogWriter:
    """Send the logs of this process to standard output, through a thread."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    writer = LogWriter(process, sys.stdout)
    root = standard_logging.getLogger()
    root.removeHandler(logging.get_absl_handler())
    root.addHandler(writer.handler)
    logging.set_verbosity(level)
    standard_logging.getLogger("werkzeug").setLevel(standard_logging.ERROR)
    writer.start()
    return writer

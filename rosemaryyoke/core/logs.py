"""Rate-limited JSON logging to standard output that never blocks a request."""

import collections
import logging as standard_logging
import queue
import sys
import threading
import time
from logging.handlers import QueueHandler

import orjson
from absl import flags, logging

MAX_QUEUED_RECORDS = 2_000
MAX_LINES_PER_S = 400.0  # a host at its planned peak load writes about 100
MAX_BURST_LINES = 1_000.0
DROP_REPORT_INTERVAL_S = 5.0
DROP_KEY_LENGTH = 40


class JsonFormatter(standard_logging.Formatter):
    """Formats each record as a JSON object."""

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
        return orjson.dumps(line, default=encode_value).decode()


def encode_value(value: object) -> str:
    """Return a string for a field value that JSON cannot represent."""
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)


class BoundedQueueHandler(QueueHandler):
    """Queues records for the writer thread.

    Records over the rate limit or the queue capacity are dropped and counted.
    """

    def __init__(self, records: queue.Queue):
        super().__init__(records)
        self.dropped: collections.Counter[str] = collections.Counter()
        self.line_credit = MAX_BURST_LINES
        self.refilled_at_s = time.monotonic()
        self.drops_reported_at_s = 0.0
        self.limiter_lock = threading.Lock()

    def prepare(self, record: standard_logging.LogRecord) -> standard_logging.LogRecord:
        """Return the record unformatted; its arguments are not modified later."""
        return record

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        """Queue a record, or drop and count it."""
        with self.limiter_lock:
            if not self._take_credit():
                self.dropped[str(record.msg)[:DROP_KEY_LENGTH]] += 1
                return
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            with self.limiter_lock:
                self.dropped[str(record.msg)[:DROP_KEY_LENGTH]] += 1

    def _take_credit(self) -> bool:
        now_s = time.monotonic()
        refill = (now_s - self.refilled_at_s) * MAX_LINES_PER_S
        self.line_credit = min(MAX_BURST_LINES, self.line_credit + refill)
        self.refilled_at_s = now_s
        if self.line_credit < 1.0:
            return False
        self.line_credit -= 1.0
        return True

    def take_drop_counts(self) -> dict[str, int]:
        """Return and reset the dropped records by message, or {} between reports."""
        now_s = time.monotonic()
        with self.limiter_lock:
            if (
                not self.dropped
                or now_s - self.drops_reported_at_s < DROP_REPORT_INTERVAL_S
            ):
                return {}
            self.drops_reported_at_s = now_s
            dropped = dict(self.dropped)
            self.dropped.clear()
        return dropped


class LogWriter:
    """Writes queued records to a stream on a background thread."""

    def __init__(self, process: str, stream) -> None:
        self.records: queue.Queue = queue.Queue(MAX_QUEUED_RECORDS)
        self.handler = BoundedQueueHandler(self.records)
        self.formatter = JsonFormatter(process)
        self.stream = stream
        self.idle = threading.Event()
        self.thread = threading.Thread(target=self.run, name="logs", daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self.thread.start()

    def run(self) -> None:
        """Write queued records in batches."""
        while True:
            lines = [self.records.get()]
            while len(lines) < MAX_QUEUED_RECORDS and not self.records.empty():
                lines.append(self.records.get_nowait())
            text = "".join(f"{self.formatter.format(line)}\n" for line in lines)
            dropped = self.handler.take_drop_counts()
            if dropped:
                text += orjson.dumps({"message": "dropped", "kinds": dropped}).decode()
                text += "\n"
            try:
                self.stream.write(text)
                self.stream.flush()
            except (OSError, ValueError):
                return

    def drain(self, timeout_s: float) -> None:
        """Wait until the queue is empty, at most ``timeout_s``."""
        deadline_s = time.monotonic() + timeout_s
        while not self.records.empty() and time.monotonic() < deadline_s:
            time.sleep(0.01)


def log_event(message: str, /, **fields: object) -> None:
    """Log a decision or a state change with its inputs as fields."""
    logging.get_absl_logger().info(message, extra={"fields": fields}, stacklevel=2)


def configure_logging(process: str, level: str) -> LogWriter:
    """Write the logs of this process to standard output on a background thread."""
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

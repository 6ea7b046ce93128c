"""Logs as JSON lines through absl."""

import logging as standard_logging
import sys

import orjson
from absl import flags, logging


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
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return orjson.dumps(line).decode()


def set_up_logs(process: str, level: str) -> None:
    """Send the logs of this process to standard error."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonFormatter(process))
    handler.python_handler.stream = sys.stderr
    logging.set_verbosity(level)
    standard_logging.getLogger("werkzeug").setLevel(standard_logging.ERROR)

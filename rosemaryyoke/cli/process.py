"""Running a host until its process exits."""

import faulthandler
import os
import signal
from typing import NoReturn

from absl import logging

from rosemaryyoke.cli.commands import EXIT_FAILURE, EXIT_OK
from rosemaryyoke.core.logs import LogWriter

LOG_DRAIN_TIMEOUT_S = 0.2


def run_and_exit(host, logs: LogWriter) -> NoReturn:
    """Run a host, then exit the process without joining its pool threads.

    A normal interpreter exit would join pool threads that still wait for a response
    from another system. SIGQUIT prints the stacks of all threads to standard error.
    """
    code = EXIT_FAILURE
    faulthandler.register(signal.SIGQUIT, all_threads=True)
    try:
        host.run()
        code = EXIT_OK
    except Exception:
        logging.exception("host stopped after an unhandled exception")
    logs.drain(LOG_DRAIN_TIMEOUT_S)
    os._exit(code)

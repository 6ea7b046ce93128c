"""Run a host as the one purpose of a process."""

import faulthandler
import os
import signal
from typing import NoReturn

from absl import logging

from rosemaryyoke.cli.commands import EXIT_FAILURE, EXIT_OK
from rosemaryyoke.core.logs import LogWriter

LOG_DRAIN_TIMEOUT_S = 0.2


def run_and_exit(host, logs: LogWriter) -> NoReturn:
    """Run a host and end the process, whatever its pools still wait for.

    The interpreter would join pool threads that wait for an outside answer. SIGQUIT
    prints the stacks of all threads to standard error.
    """
    code = EXIT_FAILURE
    faulthandler.register(signal.SIGQUIT, all_threads=True)
    try:
        host.run()
        code = EXIT_OK
    except Exception:
        logging.exception("the host failed")
    logs.drain(LOG_DRAIN_TIMEOUT_S)
    os._exit(code)

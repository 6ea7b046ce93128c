"""Bounded thread pools."""

import threading
from concurrent.futures import ThreadPoolExecutor

STACK_BYTES = 256 * 1024
BACKGROUND_WORKERS = 16


def set_stack_size() -> None:
    """Reduce the stack of new threads, since a host holds hundreds of streams."""
    threading.stack_size(STACK_BYTES)


def make_pool(name: str, workers: int) -> ThreadPoolExecutor:
    """Return a pool of at most ``workers`` threads."""
    return ThreadPoolExecutor(max_workers=workers, thread_name_prefix=name)


class PoolService:
    """Thread pool for the background tasks of a process."""

    def __init__(self, workers: int = BACKGROUND_WORKERS):
        self.executor = make_pool("background", workers)

    def start(self) -> None:
        """Do nothing; threads start with the first task."""

    def stop(self) -> None:
        """Cancel queued tasks without waiting for running ones."""
        self.executor.shutdown(wait=False, cancel_futures=True)

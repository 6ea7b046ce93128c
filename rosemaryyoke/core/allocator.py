"""Settings of the C library's allocator, so that freed memory leaves the process."""

import ctypes

from absl import logging

M_TRIM_THRESHOLD = -1  # numbers of malloc.h of glibc
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Larger blocks are returned to the system when they are freed. By default glibc raises
# this to the size of the blocks freed, up to 32 MiB, and keeps them from then on.
MMAP_THRESHOLD_BYTES = 128 * 1024
TRIM_THRESHOLD_BYTES = 256 * 1024
# Each arena keeps free memory of its own; the default is eight for each core.
ARENAS = 2


def limit_heap_growth() -> None:
    """Let the allocator return freed memory, where the C library can."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        logging.info("the C library has no mallopt")
        return
    mallopt(M_ARENA_MAX, ARENAS)
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
    mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)

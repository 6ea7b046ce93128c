"""Micro-kernel: named services, registries, timers, events, logs and metrics."""

from rosemaryyoke.core.hlc import HybridClock, Timestamp
from rosemaryyoke.core.kernel import Kernel, Service
from rosemaryyoke.core.metrics import Metrics
from rosemaryyoke.core.pools import PoolService, make_pool, set_stack_size
from rosemaryyoke.core.process_end import ProcessEnd
from rosemaryyoke.core.recorder import Event, EventRecorder
from rosemaryyoke.core.registry import Registry, UnknownEntry
from rosemaryyoke.core.signals import SignalWaiter
from rosemaryyoke.core.timer import TimerService

__all__ = [
    "Event",
    "EventRecorder",
    "HybridClock",
    "Kernel",
    "Metrics",
    "PoolService",
    "ProcessEnd",
    "Registry",
    "Service",
    "SignalWaiter",
    "TimerService",
    "Timestamp",
    "UnknownEntry",
    "make_pool",
    "set_stack_size",
]

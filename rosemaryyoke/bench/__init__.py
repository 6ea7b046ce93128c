"""Benchmarks with their bounds."""

from rosemaryyoke.bench import decision, host, placement, spread
from rosemaryyoke.bench.measure import Measure, bench

__all__ = ["Measure", "bench", "decision", "host", "placement", "spread"]

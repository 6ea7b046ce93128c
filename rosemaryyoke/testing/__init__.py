"""Helpers that start the system as processes, for tests, the demo and benchmarks."""

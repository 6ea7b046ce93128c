"""Soak test: real hosts under fault injection, with invariants checked meanwhile."""

from rosemaryyoke.soak.run import SoakReport, run_soak

__all__ = ["SoakReport", "run_soak"]

"""Real hosts under faults on every link, with their promises checked meanwhile."""

from rosemaryyoke.soak.run import SoakReport, run_soak

__all__ = ["SoakReport", "run_soak"]

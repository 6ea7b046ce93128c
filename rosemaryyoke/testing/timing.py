"""Bounds of wall-clock time, which only timed runs (make soak) check."""

import os

TIMED_VARIABLE = "ROSEMARYYOKE_TIMED"


def check_time(name: str, passed_s: float, bound_s: float) -> None:
    """Print a time beside its bound; hold it to the bound in a timed run."""
    print(f"{name}: {passed_s:.3f} s (bound {bound_s:g} s)")
    if os.environ.get(TIMED_VARIABLE):
        assert passed_s <= bound_s, f"{name}: {passed_s:.3f} s, bound {bound_s:g} s"

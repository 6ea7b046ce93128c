"""Run a subcommand under a wall clock that jumps an hour forward and back.

Example::

    python -m rosemaryyoke.soak.clock route --settings host.json
"""

import sys
import time

STEP_S = 3_600.0
PERIOD_S = 7.0
NANOSECONDS = 1_000_000_000
true_time = time.time


def stepping_time() -> float:
    """Return the wall-clock time, an hour ahead in every other period."""
    now_s = true_time()
    return now_s + STEP_S * (int(now_s / PERIOD_S) % 2)


def main() -> int:
    """Patch the wall clock and run the subcommand."""
    time.time = stepping_time
    time.time_ns = lambda: int(stepping_time() * NANOSECONDS)
    from rosemaryyoke.cli.main import main as run_command

    return run_command(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())

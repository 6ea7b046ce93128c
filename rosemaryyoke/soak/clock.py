"""Run a subcommand under a wall clock that jumps an hour forward and back.

Example::

    python -m rosemaryyoke.soak.clock route --settings host.json
"""

import sys
import time

JUMP_S = 3_600.0
PERIOD_S = 7.0
NANOSECONDS = 1_000_000_000
system_time = time.time


def jumping_time() -> float:
    """Return the wall-clock time, an hour ahead in every other period."""
    now_s = system_time()
    return now_s + JUMP_S * (int(now_s / PERIOD_S) % 2)


def main() -> int:
    """Patch the wall clock and run the subcommand."""
    time.time = jumping_time
    time.time_ns = lambda: int(jumping_time() * NANOSECONDS)
    from rosemaryyoke.cli.main import main as run_command

    return run_command(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())

"""Run the command line with ``python -m rosemaryyoke``."""

import sys

from rosemaryyoke.cli.main import main

sys.exit(main())

"""Checks that wire names of the platform are used only in the adapter."""

from pathlib import Path

import rosemaryyoke
from rosemaryyoke.platform.names import WIRE_NAMES

ROOT = Path(rosemaryyoke.__file__).parent


def test_wire_names_outside_the_adapter():
    found = [
        f"{path.relative_to(ROOT)}: {name}"
        for path in ROOT.rglob("*.py")
        if "platform" not in path.relative_to(ROOT).parts
        for name in WIRE_NAMES
        if name in path.read_text()
    ]
    assert not found

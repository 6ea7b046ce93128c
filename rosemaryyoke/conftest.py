"""Fixtures that several packages' tests share."""

import pytest

from rosemaryyoke.testing.builders import System


@pytest.fixture(scope="session")
def system():
    """Return a system that tests leave as they found it."""
    with System(engines=2, services=2, hosts=3) as running:
        yield running

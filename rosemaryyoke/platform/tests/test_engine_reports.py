"""Reports of engines: how many prompts are queued or being read."""

import pytest

from rosemaryyoke.platform.upstream_calls import count_prefilling

BEGUN, READ = ["a", 490, 5, 3], ["b", 512, 0, 3]


# Guards against an order in place while a prompt is read, as engines list such requests
# among their runs, or only count them.
@pytest.mark.parametrize(
    "report, prefilling",
    [
        ({}, 0),
        ({"queued": 0, "active": 1, "runs": [BEGUN]}, 0),
        ({"queued": 0, "active": 2, "runs": [BEGUN]}, 1),
        ({"queued": 0, "active": 2, "runs": [BEGUN, READ]}, 1),
        ({"queued": 3, "active": 2, "runs": [BEGUN, BEGUN]}, 3),
        ({"queued": 0, "active": 2}, 2),
        ({"queued": 0, "active": 0, "runs": [BEGUN]}, 0),
    ],
)
def test_prefilling_requests_are_counted(report, prefilling):
    assert count_prefilling(report) == prefilling

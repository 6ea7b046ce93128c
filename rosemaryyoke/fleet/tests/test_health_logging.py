"""Log lines for changes of an upstream's health."""

import pytest

from rosemaryyoke.fleet.tests.builders import NOW_S, make_state


@pytest.fixture()
def messages(caplog):
    """Return a function that lists the logged messages."""
    caplog.set_level("INFO", logger="absl")
    return lambda: [record.getMessage() for record in caplog.records]


def test_silent_upstream_is_logged_once(messages):
    state = make_state()
    for _ in range(3):
        state.record_failure(NOW_S)
    assert messages() == ["upstream silent"]


def test_refusing_upstream_is_logged_once_as_suspect(messages):
    state = make_state()
    for _ in range(3):
        state.record_failure(NOW_S, silent=False)
    assert messages() == ["upstream suspect"]


@pytest.mark.parametrize("success", [True, False])
def test_recovered_upstream_is_logged(messages, success):
    state = make_state()
    state.record_failure(NOW_S)
    state.record_answer(success, NOW_S)
    assert messages() == ["upstream silent", "upstream answers again"]
    assert not state.silent and bool(state.failures) is not success


def test_working_upstream_is_not_logged(messages):
    state = make_state()
    for _ in range(3):
        state.mark_responding()
        state.record_answer(True, NOW_S)
    assert messages() == []


def test_health_change_logs_its_inputs(caplog):
    caplog.set_level("INFO", logger="absl")
    make_state("e7").record_failure(NOW_S)
    (record,) = caplog.records
    assert record.fields["upstream"] == "e7"
    assert {"failures", "error_share", "under_way"} < record.fields.keys()

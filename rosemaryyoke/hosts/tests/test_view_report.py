"""Log lines and metrics of a host's view of the store."""

import logging
import time

from rosemaryyoke.catalog import Catalog
from rosemaryyoke.catalog.catalog import STORE
from rosemaryyoke.catalog.model import Configuration
from rosemaryyoke.core import Metrics
from rosemaryyoke.hosts.tests.test_watchers import make_hosts, make_roles
from rosemaryyoke.hosts.view_report import ViewReport
from rosemaryyoke.hosts.watchers import FOLLOWER, RELAY, ROLES, WATCHER


def make_report(roles=None):
    """Return the report of a host that knows no other one, or of the given roles."""
    (alone,) = make_roles(make_hosts(1)).values()
    return ViewReport(Catalog(), roles or alone, Metrics())


def messages(caplog):
    """Return the messages logged since the last call."""
    found = [record.getMessage() for record in caplog.records]
    caplog.clear()
    return found


def test_each_change_is_logged_once(caplog):
    caplog.set_level(logging.INFO)
    report = make_report()
    report.catalog.record_confirmation(0.0, "h7")
    report.tick()
    assert messages(caplog) == ["store role changed", "view source changed"]
    assert report.source == "h7" and report.metrics.value("view_age_seconds") < 0.1
    report.tick()
    assert messages(caplog) == []
    max_age_s = report.catalog.timing.max_age_s
    report.catalog.confirmed_s = time.monotonic() - max_age_s - 0.1
    report.tick()
    report.tick()
    assert messages(caplog) == ["view stale"]
    report.catalog.record_confirmation(0.1, "h8")
    report.tick()
    assert messages(caplog) == ["view source changed", "view current again"]


def test_age_is_that_of_the_newest_answer():
    catalog = Catalog()
    assert catalog.view_source() != STORE
    catalog.record_confirmation(0.5, "h7")
    assert 0.5 <= catalog.age_s() < 0.6
    catalog.record_store_answer(time.monotonic())
    assert catalog.age_s() >= 0.5
    catalog.update_configuration(Configuration(1, (), {}), b"")
    catalog.replace_upstreams({})
    assert catalog.age_s() < 0.1 and catalog.view_source() == STORE


def test_role_of_each_host_is_told():
    found = {}
    for name, roles in make_roles(make_hosts(40)).items():
        report = make_report(roles)
        report.update_role(roles.role(0.0), 0.0)
        values = {name: report.metrics.value("store_role", role=name) for name in ROLES}
        assert sum(values.values()) == 1 and values[report.role] == 1
        found.setdefault(report.role, set()).add(name)
    assert set(found) == {WATCHER, RELAY, FOLLOWER}

"""The store's client and the configuration when the store comes back in a new era.

Pattern: what was written since the copy is gone, revisions are given out again, and the
operator and the engines write again some seconds later.
"""

import pytest
from result import Err

from rosemaryyoke.objects.eras import era_of, make_version, revision_of
from rosemaryyoke.platform.eras import decode_era
from rosemaryyoke.platform.standins.documents import make_configuration
from rosemaryyoke.platform.tests.restores import (
    ModelHost,
    write_engine,
    write_heartbeats,
)


def test_version_orders_by_era_then_revision():
    versions = [make_version(1, 9), make_version(2, 1), make_version(2, 2)]
    assert versions == sorted(versions)
    assert [(era_of(v), revision_of(v)) for v in versions] == [(1, 9), (2, 1), (2, 2)]
    assert make_version(0, 7) == 7
    assert float(make_version(8_191, 2**40 - 1)) == make_version(8_191, 2**40 - 1)
    with pytest.raises(ValueError):
        make_version(1, 2**40)


def test_era_is_decoded_from_header():
    assert decode_era([(b"Content-Type", b"x"), (b"store-era", b"3")]) == 3
    assert decode_era([]) == 0
    for malformed in (b"", b"x", b"-1"):
        with pytest.raises(ValueError):
            decode_era([(b"Store-Era", malformed)])


def test_configuration_does_not_regress_after_store_is_restored(model, host, clock):
    model.set("config", "main", make_configuration(7))
    host.poll()
    clock.at_s += 1.0
    model.restore(3.0)
    host.poll()
    assert model.objects["config"]["main"]["spec"]["version"] == 3
    assert host.catalog.configuration.version == 7


def test_configuration_rewritten_with_a_lower_revision_is_applied(model, host, clock):
    write_heartbeats(model, 3)
    host.poll()
    known = model.revision
    clock.at_s += 1.0
    model.restore(3.0)
    model.set("config", "main", make_configuration(9))
    assert model.revision < known
    write_heartbeats(model, 5, seq=200)
    host.poll()
    assert host.catalog.configuration.version == 9


def test_weights_do_not_regress_and_are_applied_after_store_is_restored(
    model, host, clock
):
    model.set("versions", "m1", {"model": "m1", "version": 4})
    write_heartbeats(model, 3)
    host.poll()
    clock.at_s += 1.0
    model.restore(3.0)
    host.poll()
    assert host.catalog.wanted == {"m1": 4}
    model.restore(1.0)
    model.set("versions", "m1", {"model": "m1", "version": 5})
    write_heartbeats(model, 5, seq=200)
    host.poll()
    assert host.catalog.wanted == {"m1": 5}


def test_late_answer_of_an_older_era_changes_nothing(model, host, clock):
    model.set("leases", "m1", {"token": "x"})
    version = host.store.get("leases/m1").unwrap().version

    def learn_new_era(method, target):
        host.store.eras.learn(model.era + 1, "h2")

    host.client.after_call = learn_new_era
    before = dict(host.catalog.upstreams)
    write_engine(model, "e3")
    assert isinstance(host.follower.upstream_follower.step(), Err)
    assert host.catalog.upstreams == before
    assert isinstance(host.follower.upstream_follower.step(), Err)
    assert host.catalog.upstreams == before
    assert isinstance(host.store.get("leases/m1"), Err)
    created = host.store.put("leases/m2", b"{}", 0)
    assert created.err_value.conflict and created.err_value.maybe_applied
    calls = len(host.client.calls)
    written = host.store.put("leases/m1", b"{}", version)
    assert written.err_value.conflict and not written.err_value.maybe_applied
    assert len(host.client.calls) == calls


def test_answer_of_another_era_to_a_write_is_a_conflict(model, host, clock):
    model.set("leases", "m1", {"token": "x"})
    clock.at_s += 5.0
    version = host.store.get("leases/m1").unwrap().version
    model.restore(1.0)
    written = host.store.put("leases/m1", b'{"token":"y"}', version)
    assert model.objects["leases"]["m1"]["spec"] == {"token": "y"}
    assert written.err_value.conflict and written.err_value.maybe_applied


def test_watch_across_eras_lists_anew(model, host, clock):
    task = host.follower.upstream_follower
    write_heartbeats(model, 1)
    task.step()
    model.restore(0.0)
    write_heartbeats(model, 3)
    outcome = task.step()
    assert outcome.err_value.history_gone and task.position is None
    assert task.step().is_ok()
    assert era_of(task.position) == model.era


def test_listing_of_two_eras_is_fetched_anew(model, host, clock):
    model.page_size = 1

    def restore_once(method, target):
        host.client.after_call = lambda method, target: None
        model.restore(0.0)

    host.client.after_call = restore_once
    outcome = host.store.list("servers")
    assert outcome.err_value.history_gone
    listing = host.store.list("servers").unwrap()
    assert [item.name for item in listing.objects] == ["e1", "e2"]
    assert {era_of(item.version) for item in listing.objects} == {model.era}


def test_store_without_eras_keeps_plain_revisions(model, host, monkeypatch):
    model.era = 0
    plain = ModelHost(model, host.clock)
    plain.poll()
    assert plain.follower.upstream_follower.position == model.revision
    assert plain.lease.acquire() and plain.lease.fencing_token == model.revision


def test_host_logs_new_era_and_its_source(model, host, clock, caplog):
    caplog.set_level("INFO", logger="absl")
    model.restore(1.0)
    host.poll()
    host.store.eras.learn(model.era + 1, "h2")
    logged = [
        (r.fields["old"], r.fields["new"], r.fields["source"])
        for r in caplog.records
        if r.getMessage() == "store era changed"
    ]
    assert logged == [(1, 2, "store"), (2, 3, "h2")]

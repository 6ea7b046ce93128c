"""Upstreams when the store comes back without their newest registrations."""

from rosemaryyoke.catalog.departures import UNWRITTEN_ENTRY_TTL_S
from rosemaryyoke.catalog.follower import REREGISTRATION_GRACE_S
from rosemaryyoke.platform.tests.restores import write_engine


def test_engines_missing_from_the_copy_are_kept(model, host, clock):
    write_engine(model, "e3")
    write_engine(model, "e4")
    host.poll()
    clock.at_s += 1.0
    model.restore(3.0)
    host.poll()
    assert host.upstreams == {"e1", "e2", "e3", "e4"}
    clock.at_s += REREGISTRATION_GRACE_S - 0.5
    write_engine(model, "e3", seq=2)
    host.poll()
    clock.at_s += 1.0
    host.poll()
    assert host.upstreams == {"e1", "e2", "e3"}


def test_drain_lost_with_the_copy_still_binds(model, host, clock):
    write_engine(model, "e1", state="draining")
    host.poll()
    assert host.upstreams == {"e2"}
    clock.at_s += 1.0
    model.restore(3.0)
    host.poll()
    assert host.upstreams == {"e2"}
    write_engine(model, "e1", seq=7)
    host.poll()
    assert host.upstreams == {"e2"}
    write_engine(model, "e1", seq=8, born=2)
    host.poll()
    assert host.upstreams == {"e1", "e2"}


def test_drain_is_revoked_only_in_its_own_era(model, host):
    write_engine(model, "e1", state="draining")
    host.poll()
    assert host.upstreams == {"e2"}
    write_engine(model, "e1", seq=3)
    host.poll()
    assert host.upstreams == {"e1", "e2"}


def test_removed_engine_gets_no_work_until_it_writes_again(model, host, clock):
    model.remove("servers", "e1")
    host.poll()
    clock.at_s += 1.0
    model.restore(3.0)
    host.poll()
    assert "e1" in model.objects["servers"] and host.upstreams == {"e2"}
    write_engine(model, "e1", seq=2)
    host.poll()
    assert host.upstreams == {"e1", "e2"}


def test_removed_engine_whose_entry_stays_is_used_again(model, host, clock):
    model.remove("servers", "e1")
    host.poll()
    clock.at_s += 1.0
    model.restore(3.0)
    host.poll()
    clock.at_s += UNWRITTEN_ENTRY_TTL_S + 0.1
    host.poll()
    assert host.upstreams == {"e1", "e2"}


def test_copy_does_not_take_back_a_later_start_or_newer_weights(model, host, clock):
    weights = [{"name": "m1", "version": 5, "adapters": []}]
    write_engine(model, "e1", seq=2, models=weights)
    write_engine(model, "e2", seq=2, born=2, slots=9)
    host.poll()
    clock.at_s += 1.0
    model.restore(3.0)
    host.poll()
    assert host.catalog.upstreams["e1"].weights == {"m1": 5}
    assert host.catalog.upstreams["e2"].born_ms == 2
    weights[0]["version"] = 4
    write_engine(model, "e1", seq=3, models=weights)
    host.poll()
    assert host.catalog.upstreams["e1"].weights == {"m1": 4}

"""The injector runs the selected faults and records which were unplanned."""

import random
import threading
from types import SimpleNamespace

import pytest

from rosemaryyoke.soak.faults import FaultContext, faults
from rosemaryyoke.soak.history import History
from rosemaryyoke.soak.injector import ALL, PLANNED, FaultInjector, select_faults
from rosemaryyoke.soak.planned_work import planned_work


def make_injector(name):
    testbed = SimpleNamespace(history=History())
    injector = FaultInjector(testbed, 1, 1, {name: lambda context: None})
    return injector, FaultContext(testbed, random.Random(1), threading.Event())


def test_selection_by_profile():
    assert set(select_faults(PLANNED)) == set(planned_work.names())
    assert set(select_faults(ALL)) == {*planned_work.names(), *faults.names()}


def test_selection_by_names():
    names = ["host killed", "burst of configurations"]
    assert list(select_faults(",".join(names))) == names


def test_selection_unknown():
    with pytest.raises(LookupError):
        select_faults("host killed,host painted")


def test_unplanned_fault_is_recorded_as_disruption():
    injector, context = make_injector("host killed")
    injector.inject("host killed", context)
    (item,) = injector.testbed.history.disruptions
    assert item.name == "host killed" and item.started_s <= item.ended_s < 1e9


def test_planned_work_is_no_disruption():
    injector, context = make_injector("new weights")
    injector.inject("new weights", context)
    assert not injector.testbed.history.disruptions

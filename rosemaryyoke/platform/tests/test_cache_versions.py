"""Requests begin only on KV cache that their own weights have made."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from attrs import frozen
from result import Ok

from rosemaryyoke.fleet import Chooser
from rosemaryyoke.platform.standins.documents import MODEL
from rosemaryyoke.platform.tests.caching_deployment import (
    FIRST_PART,
    CachingDeployment,
    shared_part,
)
from rosemaryyoke.platform.tests.deployment import wait_for

MAX_PROMPTS = 9


@pytest.fixture()
def caching():
    deployment = CachingDeployment()
    yield deployment
    deployment.stop()


@frozen
class LearningChooser:
    """Chooser that learns of another version of the weights after each choice."""

    chooser: Chooser
    version: int

    def choose(self, *arguments):
        """Choose an upstream, then update what is known of it."""
        chosen = self.chooser.choose(*arguments)
        if isinstance(chosen, Ok):
            chosen.ok_value.state.update_weights(MODEL, self.version, 0.0)
        return chosen


@frozen
class AvoidingChooser:
    """Chooser that never chooses one upstream."""

    chooser: Chooser
    avoided: str

    def choose(self, request, states, excluded, now_s):
        """Choose among the other upstreams."""
        return self.chooser.choose(request, states, {*excluded, self.avoided}, now_s)


def gated(engines, gates):
    """Return the parts that engines read and that a test holds."""
    parts = [part for engine in engines for part in engine.parts_being_read()]
    return [part for part in parts if part in gates]


# Guards against engines that share nothing, which the other tests would not notice.
def test_parts_of_the_same_weights_are_shared(caching):
    caching.start(engines=2, hosts=1)
    host, (first, second) = caching.hosts[0], caching.engines
    for engine in (first, second):
        engine.busy = True
        assert caching.send(host) == 200
        engine.busy = False
    assert caching.network.uses == 2 and caching.network.stale_uses == []


# Guards against a prompt that is looked up under the version believed when its engine
# was chosen, while the head expects the version believed when it is written.
def test_belief_that_changes_after_the_choice_uses_no_entries_of_other_weights(caching):
    caching.start(engines=2, hosts=1)
    host, (first, second) = caching.hosts[0], caching.engines
    assert caching.send(host) == 200
    first.busy = True
    second.replace_weights(2)
    selector = host.forwarder.selector
    selector.chooser = LearningChooser(selector.chooser, 2)
    caching.send(host)
    assert caching.network.stale_uses == []


# Guards against parts whose reading began under one version and ended under the next,
# and which engines that still have the first version fetch from the store.
def test_parts_read_across_a_roll_out_are_not_fetched(caching):
    caching.start(engines=3, hosts=1)
    host, gates = caching.hosts[0], {}
    for engine in caching.engines:
        engine.gates = gates
    with ThreadPoolExecutor(MAX_PROMPTS) as pool:
        for prompt in range(MAX_PROMPTS):
            gates[shared_part(prompt)] = threading.Event()
            pool.submit(caching.send, host, prompt)
            wait_for(lambda: len(gated(caching.engines, gates)) > prompt)
            if all(gated([engine], gates) for engine in caching.engines):
                break
        caching.declare(2)
        wait_for(lambda: any(engine.orders for engine in caching.engines))
        ordered = next(engine for engine in caching.engines if engine.orders)
        for engine in caching.engines:
            engine.refuses_orders = True
        time.sleep(2 * ordered.load_s)
        ordered.busy = True
        parts = gated([ordered], gates)
        for part in parts:
            gates[part].set()
        wait_for(lambda: not ordered.active)
        statuses = [caching.send(host, int(part[:-1], 16)) for part in parts]
        for gate in gates.values():
            gate.set()
    assert parts and set(statuses) == {200}
    assert caching.network.stale_uses == []


# Guards against parts that an engine has read across a replacement of its weights, as
# another host ordered it, and that engines of the first version fetch from it.
def test_parts_read_across_a_replacement_are_not_fetched_from_the_engine(caching):
    caching.start(engines=3, hosts=1, has_kv_store=False)
    host, gate = caching.hosts[0], threading.Event()
    for engine in caching.engines:
        engine.gates = {FIRST_PART: gate}
    with ThreadPoolExecutor(1) as pool:
        sent = pool.submit(caching.send, host)
        wait_for(lambda: gated(caching.engines, [FIRST_PART]))
        reader = next(item for item in caching.engines if item.parts_being_read())
        reader.replace_weights(2)
        gate.set()
        assert sent.result() == 200
    selector = host.forwarder.selector
    selector.chooser = AvoidingChooser(selector.chooser, reader.name)
    assert caching.send(host) == 200
    assert caching.network.stale_uses == []


# Guards against an engine that is suspected since it refused a request for its version.
def test_refusal_for_the_version_is_no_failure(caching):
    caching.start(engines=1, hosts=1)
    host, engine = caching.hosts[0], caching.engines[0]
    engine.replace_weights(2)
    assert caching.send(host) == 503
    state = host.fleet.states[engine.name]
    assert (state.weights, state.failures) == ({MODEL: 2}, 0)
    assert caching.send(host) == 200


# Guards against entries that engines of all versions share, as their registrations name
# no version of the model.
def test_unknown_versions_use_no_entries_of_other_weights(caching):
    caching.start(engines=2, hosts=1, models=[])
    host, (first, second) = caching.hosts[0], caching.engines
    second.replace_weights(2)
    for engine in (first, second):
        engine.busy = True
        assert caching.send(host) == 200
        engine.busy = False
    assert caching.network.stale_uses == []

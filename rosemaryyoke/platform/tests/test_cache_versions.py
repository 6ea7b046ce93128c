"""Requests begin only on KV cache that their own weights have made."""

import pytest
from attrs import frozen
from result import Ok

from rosemaryyoke.fleet import Chooser
from rosemaryyoke.platform.standins.documents import MODEL
from rosemaryyoke.platform.tests.caching_deployment import CachingDeployment


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

"""Rules updates while the platform rejects the hosts that read it for the others."""

import time

import pytest

from rosemaryyoke.http1 import Address
from rosemaryyoke.membership.members import WATCHERS_KEY, WATCHERS_PER_DATA_CENTRE
from rosemaryyoke.placement.rendezvous import rank
from rosemaryyoke.soak.link import BOTH, Link
from rosemaryyoke.testing.builders import DATA_CENTRES, System, free_port

HOSTS = 3 * len(DATA_CENTRES)  # one in each data centre that is no watcher
IN_FORCE_S = 5.0
SETTLED_S = 11.0  # every host waits once for a change, for 10 s
SILENT, REFUSING = "silent", "refusing"


class LinkedSystem(System):
    """A system whose hosts reach the platform over a link each."""

    links = {}
    starting = ""

    def start_host(self, name, port=0):
        """Start a host with a link of its own."""
        platform = Address.parse(super().address("platform").removeprefix("http://"))
        link = Link(platform, Address("127.0.0.1", free_port()))
        link.start()
        self.links[name], self.starting = link, name
        try:
            return super().start_host(name, port)
        finally:
            self.starting = ""

    def address(self, name):
        """Return the address of a process, the link's for a host that starts."""
        if name == "platform" and self.starting:
            return str(self.links[self.starting].address)
        return super().address(name)

    def stop(self):
        """End all parts."""
        super().stop()
        for link in self.links.values():
            link.stop()


@pytest.fixture(scope="module")
def system():
    with LinkedSystem(engines=1, services=0, hosts=HOSTS) as running:
        time.sleep(SETTLED_S)
        yield running


def watchers(system):
    """Return the hosts that read the platform."""
    found = set()
    for number in range(len(DATA_CENTRES)):
        names = system.host_names[number :: len(DATA_CENTRES)]
        found.update(rank(WATCHERS_KEY, names, WATCHERS_PER_DATA_CENTRE))
    return found


# Guards against hosts that leave the platform to watchers which it rejects.
@pytest.mark.parametrize("how", (SILENT, REFUSING))
def test_rules_are_in_force_while_all_watchers_are_rejected(system, how):
    rejected = watchers(system)
    assert 0 < len(rejected) < HOSTS
    for name in rejected:
        link = system.links[name]
        link.blocked = BOTH if how == SILENT else frozenset()
        link.refusing = how == REFUSING
        if link.refusing:
            link.reset()
    revision = system.publish(system.rules_text() + f"# {how}\n").revision
    started_s = time.monotonic()
    try:
        late = set(system.host_names)
        while late and time.monotonic() - started_s < IN_FORCE_S:
            late = {n for n in late if system.status(n)["revision"] < revision}
            time.sleep(0.05)
        assert not late
        print(f"in force after {time.monotonic() - started_s:.1f} s")
    finally:
        for link in system.links.values():
            link.heal()
        time.sleep(SETTLED_S)

"""Builders of outcomes, and hosts that exchange them over links with losses."""

import itertools
import random
import time

from attrs import define, field

from rosemaryyoke.quarantine import NO_FINGERPRINT, PromptOutcome, Quarantine

START_S = 1_000.0
TICK_S = 0.1
RUN_S = 0.2  # from the send to the crash


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.at_s = START_S

    def __call__(self):
        return self.at_s


REQUESTS = itertools.count()


def make_outcome(
    keys,
    upstream=1,
    at_s=START_S,
    crashed=True,
    request=None,
    lasted_s=0.0,
    fingerprint=NO_FINGERPRINT,
):
    """Return the outcome of an attempt on a prompt that ended at a time."""
    number = next(REQUESTS) if request is None else request
    return PromptOutcome(
        number, upstream, tuple(keys), at_s - lasted_s, at_s, crashed, fingerprint
    )


def review_for(quarantine, seconds):
    """Let a quarantine on the system's clock review as if some time passed."""
    for number in range(1, round(seconds / TICK_S) + 1):
        quarantine.now_s = lambda: time.monotonic() + number * TICK_S
        quarantine.review()


@define(eq=False)
class HostGroup:
    """Quarantines of several hosts on one clock, and the loss of their datagrams."""

    count: int = 3
    loss: float = 0.0
    clock: Clock = field(factory=Clock)
    generator: random.Random = field(factory=lambda: random.Random(1))
    hosts: list[Quarantine] = field(init=False)
    datagrams: int = 0

    def __attrs_post_init__(self):
        self.hosts = [self.make_host() for _ in range(self.count)]

    def make_host(self):
        """Return a quarantine that knows nothing."""
        return Quarantine(now_s=self.clock, hosts=self.count)

    def crash(self, host, keys, upstream, **options):
        """Let a host see an engine crash on a prompt."""
        outcome = make_outcome(
            keys, upstream, self.clock.at_s, **{"lasted_s": RUN_S, **options}
        )
        self.hosts[host].record_crash(outcome)

    def answer(self, host, keys, **options):
        """Let a host see a prompt answered that it just sent."""
        outcome = make_outcome(keys, at_s=self.clock.at_s, crashed=False, **options)
        self.hosts[host].record_success(outcome)

    def pass_time(self, seconds):
        """Let the hosts review and exchange their news for some time."""
        for _ in range(round(seconds / TICK_S)):
            self.clock.at_s += TICK_S
            for number, host in enumerate(self.hosts):
                host.review()
                outcomes, bans = host.take_due()
                if outcomes or bans:
                    self.deliver(number, outcomes, bans)

    def deliver(self, sender, outcomes, bans):
        """Send a notice to all others."""
        for number, host in enumerate(self.hosts):
            if number == sender:
                continue
            self.datagrams += 1
            if self.generator.random() >= self.loss:
                host.receive(f"h{sender}", outcomes, bans)

    def banning(self, *keys):
        """Return how many hosts keep a prompt from engines."""
        return sum(host.find_ban(keys) is not None for host in self.hosts)

    def refusing(self, fingerprint):
        """Return how many hosts keep a request from engines."""
        return sum(self.refuses(host, fingerprint) for host in range(self.count))

    def refuses(self, host, fingerprint, keys=()):
        """Return whether a host keeps a request from engines."""
        return self.hosts[host].refuse(keys, lambda: fingerprint) is not None

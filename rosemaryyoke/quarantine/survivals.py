"""Attempts that outlived an alleged crash of their engine.

An engine that crashes ends all requests that it works on. If one that was sent before
goes on afterwards, the engine only broke off a single answer.
"""

from collections import OrderedDict, deque

from attrs import define, field

from rosemaryyoke.quarantine.outcomes import PromptOutcome

MAX_UPSTREAMS = 1_024
MAX_SPANS = 8  # per upstream
SENT_BEFORE_S = 0.1  # reports of other hosts seem younger than they are
ENDED_AFTER_S = 0.3  # bytes of an engine that has crashed may still be on their way


@define(eq=False)
class Survivals:
    """When recent attempts that succeeded were sent and last heard of, by upstream."""

    spans: OrderedDict[int, deque[tuple[float, float]]] = field(factory=OrderedDict)

    def add(self, success: PromptOutcome) -> None:
        """Add an attempt that succeeded or goes on."""
        spans = self.spans.pop(success.upstream, None)
        if spans is None:
            spans = deque(maxlen=MAX_SPANS)
        spans.append((success.sent_s, success.ended_s))
        self.spans[success.upstream] = spans
        if len(self.spans) > MAX_UPSTREAMS:
            self.spans.popitem(last=False)

    def find(self, upstream: int, crashed_s: float) -> tuple[float, float] | None:
        """Return an attempt that shows that an upstream did not crash at a time."""
        spans = self.spans.get(upstream, ())
        return next((span for span in spans if outlives(span, crashed_s)), None)


def outlives(span: tuple[float, float], crashed_s: float) -> bool:
    """Return whether an attempt was under way before and after a time."""
    sent_s, ended_s = span
    return sent_s + SENT_BEFORE_S < crashed_s < ended_s - ENDED_AFTER_S

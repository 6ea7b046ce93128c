"""Kinds of events, filed with what they tell."""

from rosemaryyoke.core.registry import Registry

event_kinds: Registry[str] = Registry("event kind")

for _name, _meaning in {
    "process.started": "the process started",
    "process.stopped": "the process stops",
    "host.leaving": "the host takes no new callers",
    "host.suspected": "a peer does not answer",
    "host.failed": "a suspected peer stayed silent",
    "rules.in_force": "a rules revision took effect on this host",
    "request.began": "a caller's request was admitted",
    "request.ended": "a caller's request got its last byte or its error",
    "request.refused": "a caller's request was refused",
    "attempt.sent": "a completion was sent to an engine",
    "attempt.failed": "an engine did not finish a completion",
    "stream.resumed": "a caller goes on with a stream it has a part of",
    "service.sent": "a call was sent to a plain service",
    "claim.made": "an idempotency key was claimed",
    "claim.repeated": "a key was claimed before",
    "orders.fenced": "a lease holder shut out the one before it",
    "order.sent": "an engine was ordered to load weights",
    "upstream.leaving": "an upstream gets no new work",
}.items():
    event_kinds.register(_name)(_meaning)

"""Registry of event kinds with their descriptions."""

from rosemaryyoke.core.registry import Registry

event_kinds: Registry[str] = Registry("event kind")

for _name, _description in {
    "process.started": "the process started",
    "process.stopped": "the process is stopping",
    "host.leaving": "the host stopped accepting new requests",
    "host.suspected": "a peer did not answer and is suspected to have failed",
    "host.failed": "a suspected peer did not answer in time and is marked failed",
    "rules.in_force": "a rules revision took effect on this host",
    "request.began": "a caller's request was admitted",
    "request.ended": "the last byte or an error was sent to the caller",
    "request.refused": "a caller's request was rejected",
    "attempt.sent": "a completion was sent to an engine",
    "attempt.failed": "an engine failed to finish a completion",
    "stream.resumed": "a caller resumed a partly received stream",
    "service.sent": "a call was sent to a service",
    "claim.made": "an idempotency key was claimed",
    "claim.repeated": "an idempotency key had already been claimed",
    "orders.fenced": "a lease holder fenced off its predecessor",
    "order.sent": "an order to load weights was sent to an engine",
    "upstream.leaving": "an upstream is draining and gets no new work",
}.items():
    event_kinds.register(_name)(_description)

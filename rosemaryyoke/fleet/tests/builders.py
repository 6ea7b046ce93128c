"""Builders of upstreams and requests for tests of placement."""

from rosemaryyoke.catalog import EngineTraits, Upstream
from rosemaryyoke.exchanges.messages import PromptPart, RequestMetadata
from rosemaryyoke.fleet import PlacementRequest, UpstreamState
from rosemaryyoke.http1 import Address

TRAITS = EngineTraits(48, 116_169, 35_136, 740_000.0, ("m1",))
NOW_S = 1_000.0


def make_state(name="e1", traits=TRAITS, weights=1, **changes):
    """Return the state of an engine."""
    values = {"data_centre": "z1", "slots": 48, "weights": {"m1": weights}, **changes}
    upstream = Upstream(name, "llm", Address("127.0.0.1", 1), **values)
    return UpstreamState(upstream, traits)


def make_states(count):
    """Return the states of identical engines."""
    return [make_state(f"e{number}") for number in range(count)]


def make_ask(session="s1", standard="w1", tail="t1", sizes=(2_520, 3_780, 2_890)):
    """Return a request with a shared standard prompt, a session and a unique tail."""
    names = (standard, session, tail)
    parts = tuple(PromptPart(*item) for item in zip(names, sizes))
    return RequestMetadata(b"r1", model="m1", parts=parts, output_tokens=10)


def make_request(ask=None, time_left_s=5.0, wanted=0, salt=b"s"):
    """Return a placement request."""
    return PlacementRequest(ask or make_ask(), salt, 18_000, "z1", time_left_s, wanted)

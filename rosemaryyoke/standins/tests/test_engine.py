"""Requests to the stand-in engine around an order to load other weights."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from rosemaryyoke.placement.blocks import Scope, hash_blocks
from rosemaryyoke.standins import EngineOptions, EngineStandin, KvStoreStandin
from rosemaryyoke.testing.builders import free_port
from rosemaryyoke.upstreams import EngineRequest, KvImport, Started
from rosemaryyoke.upstreams.engine import HttpEngineAdapter, WeightsLoadOrder
from rosemaryyoke.wire import HttpServer, json_request, send

LOAD_S = 0.2
PREFILL_S_PER_BLOCK = 0.05
PROMPT = "p" * 640  # ten blocks
OLD, NEW = "v1", "v2"


@pytest.fixture()
def serve():
    """Return a function that serves an application and returns its address."""
    servers = []

    def start(app):
        server = HttpServer("127.0.0.1", free_port(), app, 20, "stand-in")
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.port}"

    yield start
    for server in servers:
        server.stop()


@pytest.fixture()
def engine(serve):
    """Return an engine and its address, and the address of a store."""
    options = EngineOptions(
        "e", "m", OLD, prefill_s_per_block=PREFILL_S_PER_BLOCK, load_s=LOAD_S
    )
    engine = EngineStandin(options)
    engine.start()
    return engine, serve(engine.application()), serve(KvStoreStandin().application())


def make_request(number, store, weights=OLD, max_tokens=1):
    """Return a request for a prompt of its own."""
    kv_import = KvImport("a", "m", weights, store)
    prompt = f"{number}{PROMPT}"
    return EngineRequest(
        f"r{number}", "a", "m", weights, prompt, max_tokens, kv_import=kv_import
    )


def complete(address, request):
    """Send a request; return its outcome and the first event."""
    events = []
    outcome = HttpEngineAdapter().complete(address, request, events.append)
    started = [event for event in events if isinstance(event, Started)]
    return outcome, started[0] if started else None


def count_stored(store, request, weights):
    """Return how many blocks of a request's prompt the store has under a version."""
    chain = hash_blocks(Scope("a", "m", weights), request.prompt)
    value = {"chain": [block.hex() for block in chain]}
    call = json_request("POST", f"http://{store}/kv/match", value)
    return send(call).unwrap().json()["blocks"]


# Guards against blocks that are computed under one version of the weights and kept, in
# the engine or the store, under another: of requests that wait, or whose prompt is
# being read, as the engine takes other weights.
def test_requests_that_have_not_started_are_refused_as_other_weights_come(engine):
    standin, address, store = engine
    requests = [make_request(number, store) for number in range(3)]
    with ThreadPoolExecutor(3) as pool:
        calls = [pool.submit(complete, address, request) for request in requests]
        while len(standin.sequences) < 3:
            time.sleep(0.01)
        HttpEngineAdapter().load_weights(address, WeightsLoadOrder(NEW, 1, 5.0))
        answers = [call.result() for call in calls]
    for request, (outcome, started) in zip(requests, answers):
        assert outcome.is_err() and outcome.err_value.refused and not started
        assert count_stored(store, request, OLD) == 0
    assert not standin.cache.blocks
    outcome, started = complete(address, make_request(3, store, NEW))
    assert outcome.is_ok() and started.weights == NEW


# Guards against a finished stream whose tokens are taken for those of other weights.
def test_finished_stream_keeps_its_weights(engine):
    _, address, store = engine
    request = make_request(0, store)
    assert complete(address, request)[0].is_ok()
    HttpEngineAdapter().load_weights(address, WeightsLoadOrder(NEW, 1, 5.0))
    events = []
    HttpEngineAdapter().resume(address, request.request, 0, events.append)
    assert events[0].weights == OLD


# Guards against tokens of two versions that are taken for those of one.
def test_running_stream_goes_on_under_other_weights_and_says_so(engine):
    standin, address, store = engine
    request = make_request(0, store, max_tokens=100)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(complete, address, request)
        while not standin.running:
            time.sleep(0.01)
        HttpEngineAdapter().load_weights(address, WeightsLoadOrder(NEW, 1, 5.0))
        outcome, started = call.result()
    assert outcome.is_ok() and started.weights == OLD
    events = []
    HttpEngineAdapter().resume(address, request.request, 0, events.append)
    assert events[0].weights == NEW

"""The ``stand-in`` command, which runs a simulated external system."""

import argparse
import signal
from typing import Callable

from rosemaryyoke.cli.commands import EXIT_OK, command
from rosemaryyoke.core import Registry, SignalWaiter, set_stack_size
from rosemaryyoke.core.logs import configure_logging
from rosemaryyoke.wire import Application, HttpServer

MAX_CONNECTIONS = 1_000

standins: Registry[Callable[[argparse.Namespace], Application]] = Registry("stand-in")


@standins.register("platform")
def make_platform(options: argparse.Namespace) -> Application:
    """Return the application of a simulated platform."""
    from rosemaryyoke.standins import PlatformStandin

    return PlatformStandin(options.seed).application()


@standins.register("engine")
def make_engine(options: argparse.Namespace) -> Application:
    """Start a simulated engine and return its application."""
    from rosemaryyoke.standins import EngineOptions, EngineStandin

    engine = EngineStandin(
        EngineOptions(
            options.name,
            options.model,
            options.weights,
            options.cache_blocks,
            options.prefill_ms / 1000,
            options.token_ms / 1000,
            options.load_s,
            options.checks_fencing,
            options.seed,
        )
    )
    engine.start()
    return engine.application()


@standins.register("service")
def make_service(options: argparse.Namespace) -> Application:
    """Return the application of a simulated service."""
    from rosemaryyoke.standins import ServiceStandin

    return ServiceStandin(options.name).application()


@standins.register("kv-store")
def make_kv_store(options: argparse.Namespace) -> Application:
    """Return the application of a simulated store of saved KV blocks."""
    from rosemaryyoke.standins import KvStoreStandin

    return KvStoreStandin().application()


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of ``stand-in``."""
    parser.add_argument("kind", choices=standins.names())
    parser.add_argument("--port", required=True, type=int, help="port on 127.0.0.1")
    parser.add_argument("--name", default="standin")
    parser.add_argument("--seed", type=int, default=0)
    engine = parser.add_argument_group("engine")
    engine.add_argument("--model", default="m")
    engine.add_argument("--weights", default="v1")
    engine.add_argument("--cache-blocks", type=int, default=2_000)
    engine.add_argument(
        "--prefill-ms", type=float, default=4.0, help="prefill time per block"
    )
    engine.add_argument("--token-ms", type=float, default=20.0)
    engine.add_argument(
        "--load-s", type=float, default=2.0, help="time to load weights"
    )
    engine.add_argument("--checks-fencing", action="store_true")


@command("stand-in", "run a simulated external system for tests", add_arguments)
def stand_in(options: argparse.Namespace) -> int:
    """Run a stand-in until SIGTERM or SIGINT."""
    set_stack_size()
    configure_logging(options.name, "warning")
    signals = SignalWaiter(signal.SIGTERM, signal.SIGINT)
    app = standins.get(options.kind)(options)
    server = HttpServer("127.0.0.1", options.port, app, MAX_CONNECTIONS, options.kind)
    server.start()
    signals.wait()
    server.stop()
    return EXIT_OK

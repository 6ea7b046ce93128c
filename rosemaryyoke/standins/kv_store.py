"""Stand-in for the kept-KV store: which chains of a scope it holds."""

import threading

from attrs import define, field
from werkzeug.wrappers import Response

from rosemaryyoke.standins.cache import BlockCache
from rosemaryyoke.wire import Application, Exchange, json_response

STORE_BLOCKS = 200_000


@define
class KvStoreStandin:
    """State of the store and its HTTP application."""

    cache: BlockCache = field(factory=lambda: BlockCache(STORE_BLOCKS))
    lock: threading.Lock = field(factory=threading.Lock)

    def application(self) -> Application:
        """Return the HTTP application."""
        app = Application()
        app.add_route("/kv", self.put, "POST")
        app.add_route("/kv/match", self.match, "POST")
        app.add_route("/load", self.show_load, "GET")
        return app

    def put(self, exchange: Exchange) -> Response:
        """Keep the blocks of a chain."""
        with self.lock:
            self.cache.insert(exchange.json()["chain"])
        return json_response({})

    def match(self, exchange: Exchange) -> Response:
        """Return how many leading blocks of a chain are kept."""
        with self.lock:
            return json_response({"blocks": self.cache.match(exchange.json()["chain"])})

    def show_load(self, exchange: Exchange) -> Response:
        """Return the load report."""
        return json_response({"accepting": True, "leaving": False})

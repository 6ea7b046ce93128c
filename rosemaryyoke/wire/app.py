"""WSGI application: routing, and the HTTP exchange passed to handlers."""

import socket
from typing import Callable, Iterable

import orjson
from absl import logging
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from rosemaryyoke.memory import Reservation
from rosemaryyoke.wire.errors import RequestRefused
from rosemaryyoke.wire.intake import Body

JSON_TYPE = "application/json"
HTTP_INTERNAL_SERVER_ERROR = 500


class Exchange:
    """One HTTP request and the means to stream its response."""

    def __init__(self, request: Request, start_response: Callable):
        self.request = request
        self.start_response = start_response
        self.write: Callable[[bytes], None] | None = None

    @property
    def connection(self) -> socket.socket:
        """Return the caller's connection."""
        return self.request.environ["werkzeug.socket"]

    @property
    def response_started(self) -> bool:
        """Return whether the response headers were sent."""
        return self.write is not None

    def begin_response(self, headers: dict[str, str]) -> Callable[[bytes], None]:
        """Send the headers of a streamed response; return its write function."""
        self.write = self.start_response("200 OK", list(headers.items()))
        self.write(b"")
        return self.write

    @property
    def reservation(self) -> Reservation:
        """Return the memory that is reserved for this exchange."""
        return self.request.environ["rosemaryyoke.reader"].reservation

    def body(self) -> bytes:
        """Read the body, once; raise ``RequestRefused`` if there is no memory for it.

        A body that no handler reads is never stored.
        """
        return self._read_body().take_bytes()

    def json(self) -> object:
        """Parse the body as JSON; raise ``ValueError`` if it is invalid."""
        return orjson.loads(self._read_body().take_for_parsing())

    def _read_body(self) -> Body:
        body = self.request.environ["rosemaryyoke.reader"].read_body()
        self.request.environ["rosemaryyoke.body_read"]()
        return body


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a response with a JSON body."""
    body = orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS)
    return Response(body, status, headers or {}, content_type=JSON_TYPE)


def error_response(
    status: int,
    code: str,
    message: str,
    kind: str = "invalid_request_error",
    headers: dict[str, str] | None = None,
) -> Response:
    """Return an error response in the API's format."""
    error = {"message": message, "type": kind, "code": code, "not_run": True}
    return json_response({"error": error}, status, headers)


Handler = Callable[..., Response | None]


class Application:
    """Map paths to handlers, which return a response or stream it."""

    def __init__(self) -> None:
        self.url_map = Map(merge_slashes=False)
        self.handlers: dict[str, Handler] = {}

    def route(self, path: str, *methods: str) -> Callable[[Handler], Handler]:
        """Return a decorator that registers a handler for a path."""

        def decorate(handler: Handler) -> Handler:
            self.add_route(path, handler, *methods)
            return handler

        return decorate

    def add_route(self, path: str, handler: Handler, *methods: str) -> None:
        """Register a handler for a path."""
        endpoint = f"{'|'.join(methods)} {path}"
        self.url_map.add(Rule(path, endpoint=endpoint, methods=list(methods)))
        self.handlers[endpoint] = handler

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one request through the WSGI interface."""
        exchange = Exchange(Request(environ), start_response)
        response = self.dispatch(exchange)
        if response is None:
            return []
        return response(environ, start_response)

    def dispatch(self, exchange: Exchange) -> Response | None:
        """Call the handler; return its response, or ``None`` if it was streamed."""
        try:
            adapter = self.url_map.bind("host")
            endpoint, arguments = adapter.match(
                exchange.request.path, exchange.request.method
            )
            return self.handlers[endpoint](exchange, **arguments)
        except HTTPException as error:
            code = (error.name or "error").lower().replace(" ", "_")
            return error_response(error.code or 500, code, error.description or "")
        except RequestRefused as error:
            headers = {"Retry-After": f"{error.retry_after_s:g}"}
            return error_response(503, error.code, str(error), "server_error", headers)
        except (ConnectionError, TimeoutError):
            raise
        except Exception:
            if exchange.response_started:
                raise
            logging.exception("request handler failed")
            return json_response(
                {
                    "error": {
                        "message": "the host failed on this request",
                        "type": "server_error",
                        "code": "internal_error",
                        "not_run": False,
                    }
                },
                HTTP_INTERNAL_SERVER_ERROR,
            )

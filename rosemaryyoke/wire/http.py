"""HTTP client based on libcurl."""

import io
import threading
from typing import Callable

import orjson
import pycurl
from attrs import define, field, frozen
from result import Err, Ok, Result

from rosemaryyoke.http1.responses import DEFAULT_RESPONSE_LIMITS, FIRST_FINAL_STATUS
from rosemaryyoke.wire.errors import (
    BodyTooLarge,
    NoMemoryForBody,
    ReadAborted,
    TransportError,
)

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 10.0
MAX_BODY_BYTES = DEFAULT_RESPONSE_LIMITS.body_bytes
# Of reports, orders and errors, which have a few hundred bytes.
MAX_CONTROL_BODY_BYTES = 262_144
BROKEN_OFF_CODES = (pycurl.E_PARTIAL_FILE, pycurl.E_GOT_NOTHING, pycurl.E_RECV_ERROR)
MS_PER_S = 1000
HTTP_OK = 200
BLANK_LINES = (b"\r\n", b"\n")

thread_state = threading.local()


def always_reserved(count: int) -> bool:
    """Count no memory."""
    return True


@frozen
class HttpRequest:
    """An HTTP request.

    ``fresh_connection`` forbids reuse of a connection: on a reused one libcurl may send
    a request twice.
    ``idle_timeout_s`` limits how long a streamed response may send no data.
    ``reserve`` is asked for the memory that the response's body takes, which has at
    most ``max_body_bytes`` if it is kept in memory.
    ``is_aborted`` is asked about once a second whether to give up.
    """

    method: str
    url: str
    headers: dict[str, str] = field(factory=dict)
    body: bytes | None = None
    timeout_s: float = CALL_TIMEOUT_S
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    fresh_connection: bool = False
    idle_timeout_s: int = 0
    reserve: Callable[[int], bool] = always_reserved
    max_body_bytes: int = MAX_BODY_BYTES
    is_aborted: Callable[[], bool] | None = None


@frozen
class HttpResponse:
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def ok(self) -> bool:
        """Return whether the status code is 2xx."""
        return HTTP_OK <= self.status < 300

    def json(self) -> dict:
        """Parse the body as JSON; raise ``ValueError`` if it is invalid."""
        return orjson.loads(self.body)


class HeaderParser:
    """Parse the status line and headers of a response.

    ``complete`` says whether the head of the final response has ended.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.complete = False

    def feed(self, line: bytes) -> None:
        """Parse one line; a further status line starts a new response.

        Trailers are dropped.
        """
        if self.complete:
            return
        # libcurl passes on half of a line end if the connection is closed there.
        if line in BLANK_LINES:
            self.complete = self.status >= FIRST_FINAL_STATUS
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self.status = int(text.split()[1])
            self.headers = {}
        elif ":" in text:
            name, _, value = text.partition(":")
            self.headers[name.strip().lower()] = value.strip()


@define(eq=False)
class BodyBuffer:
    """The body of a response that is kept in memory."""

    reserve: Callable[[int], bool] = always_reserved
    max_bytes: int = MAX_BODY_BYTES
    buffer: io.BytesIO = field(factory=io.BytesIO)
    size: int = 0

    def append(self, data: bytes) -> None:
        """Add data; raise ``BodyTooLarge`` beyond ``max_bytes``.

        Raise ``NoMemoryForBody`` if no memory is left for it.
        """
        self.size += len(data)
        if self.size > self.max_bytes:
            raise BodyTooLarge("the response is too large")
        if not self.reserve(len(data)):
            raise NoMemoryForBody("the host has no memory for the response now")
        self.buffer.write(data)

    def join(self) -> bytes:
        """Return the whole body, without a copy."""
        return self.buffer.getvalue()


@define(eq=False)
class DroppedBody:
    """The body of a response that nobody reads."""

    max_bytes: int = MAX_CONTROL_BODY_BYTES
    size: int = 0

    def append(self, data: bytes) -> None:
        """Count data; raise ``BodyTooLarge`` beyond ``max_bytes``."""
        self.size += len(data)
        if self.size > self.max_bytes:
            raise BodyTooLarge("the response is too large")


def json_request(method: str, url: str, value: object, **options) -> HttpRequest:
    """Return a request with a JSON body."""
    headers = {"Content-Type": "application/json", **options.pop("headers", {})}
    return HttpRequest(method, url, headers, orjson.dumps(value), **options)


def send(request: HttpRequest) -> Result[HttpResponse, TransportError]:
    """Send a request and return the complete response."""
    body = BodyBuffer(request.reserve, request.max_body_bytes)
    try:
        outcome = stream(request, body.append)
    except NoMemoryForBody as error:
        return Err(TransportError(str(error), sent=True, no_memory=True))
    except BodyTooLarge as error:
        return Err(TransportError(str(error), sent=True))
    if isinstance(outcome, Err):
        return outcome
    header_parser = outcome.ok_value
    return Ok(HttpResponse(header_parser.status, header_parser.headers, body.join()))


def stream(
    request: HttpRequest,
    on_data: Callable[[bytes], object],
    header_parser: HeaderParser | None = None,
) -> Result[HeaderParser, TransportError]:
    """Send a request and pass the response body to ``on_data`` as it arrives.

    ``on_data`` aborts the transfer by raising ``ReadAborted``.
    """
    header_parser = header_parser or HeaderParser()
    curl = _thread_handle()
    set_options(curl, request)
    aborted: list[ReadAborted] = []

    def receive(data: bytes) -> int | None:
        try:
            on_data(data)
        except ReadAborted as error:
            # A traceback would keep the body until the next garbage collection.
            aborted.append(error.with_traceback(None))
            return -1
        return None

    curl.setopt(pycurl.HEADERFUNCTION, header_parser.feed)
    curl.setopt(pycurl.WRITEFUNCTION, receive)
    try:
        curl.perform()
    except pycurl.error as error:
        if aborted:
            raise aborted.pop() from None
        return Err(transport_error(curl, error))
    finally:
        curl.reset()
    return check_head(header_parser)


def _thread_handle() -> pycurl.Curl:
    if not hasattr(thread_state, "curl"):
        thread_state.curl = pycurl.Curl()
    return thread_state.curl


def set_options(curl: pycurl.Curl, request: HttpRequest) -> None:
    """Set the options of a curl handle for a request."""
    curl.setopt(pycurl.URL, request.url)
    curl.setopt(pycurl.CUSTOMREQUEST, request.method)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP | pycurl.PROTO_HTTPS)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(request.connect_timeout_s * MS_PER_S))
    curl.setopt(pycurl.TIMEOUT_MS, int(request.timeout_s * MS_PER_S))
    headers = [f"{name}: {value}" for name, value in request.headers.items()]
    curl.setopt(pycurl.HTTPHEADER, [*headers, "Expect:"])
    if request.body is not None:
        curl.setopt(pycurl.POSTFIELDS, request.body)
    if request.method == "HEAD":
        curl.setopt(pycurl.NOBODY, 1)
    if request.fresh_connection:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
    if request.is_aborted is not None:
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, lambda *_: request.is_aborted())
    if request.idle_timeout_s:
        curl.setopt(pycurl.LOW_SPEED_LIMIT, 1)
        curl.setopt(pycurl.LOW_SPEED_TIME, request.idle_timeout_s)


def check_head(parser: HeaderParser) -> Result[HeaderParser, TransportError]:
    """Return the headers of a transfer that libcurl completed, or an error.

    libcurl takes a connection that is closed within the head of a response for the end
    of an empty body.
    """
    if parser.complete:
        return Ok(parser)
    message = "the connection was closed within the head of the response"
    return Err(TransportError(message, sent=True, broken_off=True))


def transport_error(curl: pycurl.Curl, error: pycurl.error) -> TransportError:
    """Convert a curl error to a ``TransportError``."""
    sent = curl.getinfo(pycurl.REQUEST_SIZE) > 0
    return TransportError(error.args[1], sent, error.args[0] in BROKEN_OFF_CODES)

"""Create exchanges: parse the request headers, and find the route and account."""

from urllib.parse import urlsplit

from attrs import frozen

from rosemaryyoke.catalog import (
    STREAM,
    Catalog,
    ClientAccount,
    Configuration,
    ExchangeRoute,
)
from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.exchanges.events import EventRelay
from rosemaryyoke.exchanges.exchange import ErrorResponse, Exchange, RequestRejected
from rosemaryyoke.exchanges.messages import (
    HeaderCodec,
    MalformedRequestHeaders,
    RequestMetadata,
)
from rosemaryyoke.http1 import RequestMessage
from rosemaryyoke.http1.messages import find_header

STALE_RETRY_AFTER_S = 0.3
CONFIGURATION_WAIT_S = 0.04  # a reachable store responds within a few milliseconds
RESPONSE_MARGIN_S = 0.02  # time to write a response that arrives at the deadline


@frozen
class ExchangeFactory:
    """Creates exchanges under the active configuration."""

    catalog: Catalog
    codec: HeaderCodec

    def open(
        self, message: RequestMessage, caller: CallerConnection, started_s: float
    ) -> Exchange:
        """Create the exchange of a request; raise ``RequestRejected``."""
        if not self.catalog.wait_loaded(CONFIGURATION_WAIT_S):
            text = "this host knows no configuration yet"
            raise RequestRejected(
                ErrorResponse(503, "no_configuration", text, STALE_RETRY_AFTER_S)
            )
        configuration = self.catalog.configuration
        metadata = self.parse_request_headers(message)
        caller.request_id = metadata.request_id
        route = self.find_route(configuration, message)
        account = self.find_account(configuration, route, metadata)
        if message.has_lost_body:  # under the configuration when its head arrived
            text = "the configuration changed while the body arrived"
            raise RequestRejected(
                ErrorResponse(503, "body_not_stored", text, STALE_RETRY_AFTER_S)
            )
        deadline_s = started_s + (metadata.deadline_s or route.timeout_s)
        response_deadline_s = (
            min(deadline_s, started_s + route.timeout_s) - RESPONSE_MARGIN_S
        )
        relay = None
        if route.kind == STREAM:
            relay = EventRelay(caller, self.codec.event_fields)
        caller.write_deadline_s = deadline_s
        return Exchange(
            message,
            metadata,
            route,
            account,
            configuration,
            caller,
            started_s,
            response_deadline_s,
            deadline_s,
            relay,
            message.body,
        )

    def is_routed(self, message: RequestMessage) -> bool:
        """Return whether a request has a route and a known key, as its head tells."""
        configuration = self.catalog.configuration
        if configuration is None:
            return False
        try:
            metadata = self.parse_request_headers(message)
            route = self.find_route(configuration, message)
            self.find_account(configuration, route, metadata)
        except RequestRejected:
            return False
        return True

    def parse_request_headers(self, message: RequestMessage) -> RequestMetadata:
        """Parse the request headers; raise ``RequestRejected``."""
        try:
            return self.codec.parse_request_headers(message.headers)
        except MalformedRequestHeaders as error:
            raise RequestRejected(
                ErrorResponse(400, "malformed_header", str(error))
            ) from error

    def find_route(
        self, configuration: Configuration, message: RequestMessage
    ) -> ExchangeRoute:
        """Return the request's route; raise ``RequestRejected``."""
        host = find_header(message.headers, b"host")
        if host is None or not message.target.startswith(b"/"):
            raise RequestRejected(
                ErrorResponse(
                    400,
                    "malformed_request",
                    "a host and path needed",
                )
            )
        name = host.decode("latin-1").lower().partition(":")[0]
        path = urlsplit(message.target.decode("latin-1")).path
        route = configuration.find_route(name, path)
        if route is not None:
            return route
        raise RequestRejected(
            self.not_found_error(404, "unknown_route", "no route has this path")
        )

    def find_account(
        self,
        configuration: Configuration,
        route: ExchangeRoute,
        metadata: RequestMetadata,
    ) -> ClientAccount | None:
        """Return the account of the request's key; raise ``RequestRejected``."""
        if route.public or not configuration.accounts:
            return None
        account = configuration.accounts_by_key.get(metadata.key or "")
        if account is not None:
            return account
        raise RequestRejected(
            self.not_found_error(401, "unknown_key", "the API key is not known")
        )

    def not_found_error(self, status: int, code: str, message: str) -> ErrorResponse:
        """Return the error response for an entry missing from the configuration."""
        if self.catalog.is_fresh():
            return ErrorResponse(status, code, message)
        return ErrorResponse(503, "stale_configuration", message, STALE_RETRY_AFTER_S)

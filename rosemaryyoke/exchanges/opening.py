"""Open an exchange: read what is asked, and find its route and account."""

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
from rosemaryyoke.exchanges.exchange import Exchange, Refusal, Refused
from rosemaryyoke.exchanges.messages import Ask, Dialect, MalformedAsk
from rosemaryyoke.http1 import RequestMessage
from rosemaryyoke.http1.messages import find_header

UNKNOWN_RETRY_S = 0.3
START_WAIT_S = 0.04  # a store that answers does so within some milliseconds
ANSWER_MARGIN_S = 0.02  # an answer at the time limit has to be written yet


@frozen
class Opener:
    """Opens exchanges under the configuration in force."""

    catalog: Catalog
    dialect: Dialect

    def open(
        self, message: RequestMessage, caller: CallerConnection, began_s: float
    ) -> Exchange:
        """Return the exchange of a request; raise ``Refused``."""
        if not self.catalog.wait_loaded(START_WAIT_S):
            text = "this host knows no configuration yet"
            raise Refused(Refusal(503, "no_configuration", text, UNKNOWN_RETRY_S))
        configuration = self.catalog.configuration
        ask = self.read_ask(message)
        caller.request_id = ask.request_id
        route = self.find_route(configuration, message)
        account = self.find_account(configuration, route, ask)
        deadline_s = began_s + (ask.deadline_s or route.timeout_s)
        until_s = min(deadline_s, began_s + route.timeout_s) - ANSWER_MARGIN_S
        relay = EventRelay(caller) if route.kind == STREAM else None
        caller.write_until_s = deadline_s
        return Exchange(
            message,
            ask,
            route,
            account,
            configuration,
            caller,
            began_s,
            until_s,
            deadline_s,
            relay,
            message.body,
        )

    def read_ask(self, message: RequestMessage) -> Ask:
        """Return what the caller asks; raise ``Refused``."""
        try:
            return self.dialect.read_ask(message.headers)
        except MalformedAsk as error:
            raise Refused(Refusal(400, "malformed_header", str(error))) from error

    def find_route(
        self, configuration: Configuration, message: RequestMessage
    ) -> ExchangeRoute:
        """Return the request's route; raise ``Refused``."""
        host = find_header(message.headers, b"host")
        if host is None or not message.target.startswith(b"/"):
            raise Refused(Refusal(400, "malformed_request", "a host and path needed"))
        name = host.decode("latin-1").lower().partition(":")[0]
        path = urlsplit(message.target.decode("latin-1")).path
        route = configuration.find_route(name, path)
        if route is not None:
            return route
        raise Refused(self.unknown(404, "unknown_route", "no route has this path"))

    def find_account(
        self, configuration: Configuration, route: ExchangeRoute, ask: Ask
    ) -> ClientAccount | None:
        """Return the account of the request's key; raise ``Refused``."""
        if route.public or not configuration.accounts:
            return None
        account = configuration.accounts_by_key.get(ask.key or "")
        if account is not None:
            return account
        raise Refused(self.unknown(401, "unknown_key", "the API key is not known"))

    def unknown(self, status: int, code: str, message: str) -> Refusal:
        """Return a refusal for what the configuration in force does not hold."""
        if self.catalog.may_reject_unknown():
            return Refusal(status, code, message)
        return Refusal(503, "stale_configuration", message, UNKNOWN_RETRY_S)

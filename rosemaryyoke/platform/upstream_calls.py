"""Calls to model engines: state reports and orders to load weights."""

import orjson
from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.http1 import Address, ResponseLimits, send_request
from rosemaryyoke.platform import names
from rosemaryyoke.platform.documents import read_weights, require_int
from rosemaryyoke.rollout.messages import (
    REPORT_TIMEOUT_S,
    EngineReport,
    OrderOutcome,
    RunningRequests,
    WeightsOrder,
)

HTTP_ACCEPTED = 202
HTTP_OK = 200  # the engine already has these weights
HTTP_CONFLICT = 409
# A report lists the requests of an engine, about 60 bytes each. Many may be read at the
# same time, one for each request that waits.
CALL_LIMITS = ResponseLimits(framing_bytes=16_384, body_bytes=262_144)
SWAP_MODES = {
    RunningRequests.FINISH_FIRST: "queue",
    RunningRequests.CONTINUE: "in_place",
}


@frozen
class PlatformEngines:
    """Engine calls in the platform's format."""

    def report(
        self, address: Address, timeout_s: float = REPORT_TIMEOUT_S
    ) -> Result[EngineReport, str]:
        """Return an engine's state, which lags by several hundred milliseconds."""
        reply = send_request(
            address, "GET", "/report", timeout_s=timeout_s, limits=CALL_LIMITS
        )
        if isinstance(reply, Err):
            return Err(reply.err_value.message)
        if not reply.ok_value.ok:
            return Err(f"status {reply.ok_value.status}")
        try:
            value = reply.ok_value.json()
            weights = read_weights(value["models"])
            orders = require_int(value["seq"])
            loading, prefilling = bool(value["busy"]), count_prefilling(value)
            return Ok(EngineReport(weights, loading, orders, prefilling))
        except (ValueError, LookupError, TypeError) as error:
            return Err(f"malformed report: {error!r}")

    def order(self, order: WeightsOrder) -> OrderOutcome:
        """Send an order; one that gets no response may still be executed later."""
        document = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "swapMode": SWAP_MODES[order.running],
            "holder": order.holder,
            "fencingToken": order.fencing,
            "expect": order.expected_orders,
        }
        reply = send_request(
            order.address,
            "POST",
            "/order",
            orjson.dumps(document),
            timeout_s=order.timeout_s,
            headers=[(names.EXPECTED_INSTANCE, order.upstream.encode())],
            limits=CALL_LIMITS,
        )
        if isinstance(reply, Err):
            error = reply.err_value
            return OrderOutcome.UNKNOWN if error.sent else OrderOutcome.NOT_SENT
        status = reply.ok_value.status
        if status in (HTTP_ACCEPTED, HTTP_OK):
            return OrderOutcome.ACCEPTED
        return OrderOutcome.BUSY if status == HTTP_CONFLICT else OrderOutcome.REFUSED


def count_prefilling(report: dict) -> int:
    """Return how many requests of a report have no event yet.

    ``active`` has all requests with a slot. ``runs`` lists those that have begun, each
    with its number of events third.
    """
    admitted = report.get("queued", 0) + report.get("active", 0)
    begun = sum(run[2] > 0 for run in report.get("runs", ()))
    return max(0, admitted - begun)

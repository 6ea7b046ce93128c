"""Encode claim changes and their results as messages between hosts."""

from result import Err, Ok, Result

from rosemaryyoke.calls.claim_entries import (
    AcquireClaim,
    ClaimChange,
    ClaimEntry,
    RecordOutcome,
    StoredResponse,
)
from rosemaryyoke.objects import PlatformError
from rosemaryyoke.peers import Message, PeerError


def change_message(change: ClaimChange):
    """Encode a change as a request to the shard's owner."""
    message = Message.new_message()
    item = message.init("changeClaim")
    item.digest = change.digest
    item.token = change.token
    if isinstance(change, AcquireClaim):
        item.request = change.request
        return message
    item.settle = True
    item.state = change.state
    item.status = change.outcome.status
    item.contentType = change.outcome.content_type
    item.body = change.outcome.body
    return message


def read_change(item) -> ClaimChange:
    """Decode the change in a request."""
    if not item.settle:
        return AcquireClaim(item.digest, item.token, request=item.request)
    outcome = StoredResponse(item.status, item.contentType, bytes(item.body))
    return RecordOutcome(item.digest, item.token, state=item.state, outcome=outcome)


def result_message(outcome: Result[ClaimEntry | None, PlatformError]):
    """Encode the result of a change."""
    message = Message.new_message()
    result = message.init("claimResult")
    if isinstance(outcome, Err):
        result.error = outcome.err_value.message
    elif outcome.ok_value is None:
        result.none = None
    else:
        entry = outcome.ok_value
        item = result.init("entry")
        item.token = entry.token
        item.request = entry.request
        item.atSeconds = entry.at_s
        item.state = entry.state
        item.status = entry.status
        item.contentType = entry.content_type
        item.body = entry.body
    return message


def read_result(message) -> Result[ClaimEntry | None, PlatformError]:
    """Decode the result of a change.

    Raises ``PeerError`` if the message is of another type.
    """
    if message.which() != "claimResult":
        raise PeerError(
            "the shard owner answered with a message other than claimResult"
        )
    result = message.claimResult
    kind = result.which()
    if kind == "error":
        return Err(PlatformError(result.error, maybe_applied=True))
    if kind == "none":
        return Ok(None)
    item = result.entry
    return Ok(
        ClaimEntry(
            item.token,
            item.request,
            item.atSeconds,
            item.state,
            item.status,
            item.contentType,
            item.body,
        )
    )

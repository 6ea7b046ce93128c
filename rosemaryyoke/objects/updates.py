"""Read, change and conditionally write an object until it holds."""

import random
import time
from typing import Callable

from attrs import frozen
from result import Err, Ok, Result

from rosemaryyoke.objects.objects import ObjectApi, PlatformError, StoredObject

INITIAL_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.5


@frozen
class Abandoned:
    """The change was not wanted any more, given what the object held."""

    current: StoredObject | None


UpdateOutcome = StoredObject | Abandoned


def update_object(
    api: ObjectApi,
    name: str,
    change: Callable[[StoredObject | None], bytes | None],
    is_own_write: Callable[[StoredObject | None], bool],
    deadline_s: float,
    current: StoredObject | None = None,
) -> Result[UpdateOutcome, PlatformError]:
    """Write what ``change`` makes of the object, and retry until ``deadline_s``.

    ``recognise`` tells whether an object read back holds this writer's change; it is
    asked after each answer that was lost. ``change`` returns none to give up.
    ``current`` is what the caller believes the object to be; it saves a read.
    An error with ``maybe_done`` leaves open whether the change holds.
    """
    backoff_s = INITIAL_BACKOFF_S
    has_current = current is not None
    maybe_applied = False
    while True:
        error = None
        if not has_current:
            read = api.get(name)
            if isinstance(read, Ok):
                current, has_current = read.ok_value, True
                if maybe_applied and is_own_write(current):
                    return Ok(current)
            else:
                error = read.err_value
        if has_current:
            body = change(current)
            if body is None:
                return Ok(Abandoned(current))
            written = api.put(name, body, current.version if current else 0)
            if isinstance(written, Ok):
                return Ok(StoredObject(name, written.ok_value, body))
            error = written.err_value
            has_current = False
            maybe_applied = maybe_applied or error.maybe_applied
            if error.conflict and time.monotonic() < deadline_s:
                continue
        if time.monotonic() + backoff_s >= deadline_s:
            return Err(PlatformError(error.message, maybe_applied=maybe_applied))
        time.sleep(backoff_s * random.uniform(0.5, 1.0))
        backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

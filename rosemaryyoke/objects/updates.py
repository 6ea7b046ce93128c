"""Optimistic updates of an object with retries on conflicts and errors."""

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
    """An update that was abandoned because of the object's current content."""

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
    """Apply ``change`` to an object and write it, retrying until ``deadline_s``.

    ``change`` returns the new body, or None to abandon the update. ``is_own_write``
    returns whether an object that was read back contains this writer's change; it is
    called after a write whose outcome is unknown. ``current`` is the caller's cached
    copy of the object, which saves a read. If the returned error has ``maybe_applied``
    set, the change may or may not have been written.
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

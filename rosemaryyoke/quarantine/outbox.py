"""What a host has to tell the others, repeated in case datagrams are lost."""

from attrs import define, field

from rosemaryyoke.quarantine.bans import Ban
from rosemaryyoke.quarantine.outcomes import PromptOutcome

FIRST_REPEAT_S = 0.2
REPEATS = 5  # with doubled intervals
SUCCESS_REPEATS = 2  # further successes follow
MAX_ITEMS = 64


@define(eq=False)
class OutboxItem:
    """An outcome or a ban, and when it is sent next."""

    content: PromptOutcome | Ban
    due_s: float
    interval_s: float = FIRST_REPEAT_S
    left: int = REPEATS


@define(eq=False)
class Outbox:
    """Items to send; beyond ``MAX_ITEMS`` the oldest ones are dropped."""

    items: list[OutboxItem] = field(factory=list)

    def add_outcome(self, outcome: PromptOutcome, now_s: float) -> None:
        """Add an outcome, to be sent at once."""
        left = REPEATS if outcome.crashed else SUCCESS_REPEATS
        self._add(OutboxItem(outcome, now_s, left=left))

    def add_ban(self, ban: Ban, now_s: float) -> None:
        """Add a ban, to be sent at once."""
        self._add(OutboxItem(ban, now_s))

    def _add(self, item: OutboxItem) -> None:
        self.items.append(item)
        del self.items[:-MAX_ITEMS]

    def take_due(self, now_s: float) -> list[PromptOutcome | Ban]:
        """Return what is to be sent now, and schedule its repetition."""
        due = [item for item in self.items if item.due_s <= now_s]
        for item in due:
            item.left -= 1
            item.due_s = now_s + item.interval_s
            item.interval_s *= 2
        self.items = [item for item in self.items if item.left]
        return [item.content for item in due]

"""The quarantine as a service of a host that is linked to a few peers."""

import time

from absl import logging

from rosemaryyoke.core import Kernel
from rosemaryyoke.peers import Message, PeerError
from rosemaryyoke.quarantine.quarantine import Quarantine
from rosemaryyoke.quarantine.rows import (
    decode_bans,
    decode_outcomes,
    encode_bans,
    encode_fingerprints,
    encode_outcomes,
)

REVIEW_PERIOD_S = 0.1
REPEAT_PERIOD_S = 2.0  # bans, for hosts that were linked since


class QuarantineService:
    """Reviews the quarantine and floods its notices over the links."""

    def __init__(self, kernel: Kernel):
        self.kernel = kernel
        self.quarantine = Quarantine(relays=True)

    def start(self) -> None:
        """Register the handler of notices and start the periodic tasks."""
        self.links = self.kernel.get("members").links
        self.links.register("quarantine", self.handle_notice)
        timer = self.kernel.get("timer")
        timer.every(REVIEW_PERIOD_S, self.review)
        timer.every(REPEAT_PERIOD_S, self.repeat_bans)

    def stop(self) -> None:
        """Do nothing; the tasks stop with the timer."""

    def review(self) -> None:
        """Ban parts that explain crashes, and tell the peers what is new."""
        self.quarantine.review()
        self.send(*self.quarantine.take_due())

    def repeat_bans(self) -> None:
        """Tell the peers the bans again."""
        self.send((), self.quarantine.reported_bans())

    def send(self, outcomes, bans) -> None:
        """Send outcomes and bans over all links."""
        if not outcomes and not bans:
            return
        now_s = time.monotonic()
        message = Message.new_message()
        notice = message.init("quarantine")
        notice.outcomes = encode_outcomes(outcomes, now_s)
        notice.bans = encode_bans(bans, now_s)
        notice.fingerprints = encode_fingerprints(outcomes)
        self.links.broadcast(message)

    def handle_notice(self, channel, message) -> None:
        """Apply what a peer tells; raise ``PeerError`` if it is malformed."""
        now_s, notice = time.monotonic(), message.quarantine
        try:
            outcomes = decode_outcomes(notice.outcomes, now_s, notice.fingerprints)
            bans = decode_bans(notice.bans, now_s)
        except ValueError as error:
            logging.warning("malformed quarantine notice: %s", error)
            raise PeerError(str(error)) from error
        self.quarantine.receive("a linked host", outcomes, bans)

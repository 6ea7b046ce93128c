"""Forms in which a simulated upstream answers: whole, truncated or unbounded."""

from enum import StrEnum
from typing import Iterable, NoReturn

from attrs import frozen

from rosemaryyoke.exchanges.caller import CallerConnection
from rosemaryyoke.http1 import Headers
from rosemaryyoke.http1.messages import encode_head

OK_LINE = b"HTTP/1.1 200 OK"
WHOLE_EVENTS = 3  # before a stream is truncated, or becomes unbounded
PIECE = b"x" * 65_536
MAX_PIECES = 1_024


class AnswerForm(StrEnum):
    """How an answer is framed, and whether it is whole."""

    FRAMED = "framed"
    CLOSE_DELIMITED = "close-delimited"
    TRUNCATED = "truncated"  # closed in order within an event or a body
    UNBOUNDED = "unbounded"


@frozen
class AnswerWriter:
    """Writes one successful answer in a form.

    An answer that ends with its connection raises ``OSError``, upon which the server
    closes the connection in order.
    """

    caller: CallerConnection
    headers: Headers
    form: AnswerForm

    def write_body(self, body: bytes) -> None:
        """Write a plain answer; one that is truncated states its whole length."""
        if self.form is AnswerForm.FRAMED:
            self.caller.send_response(200, b"", self.headers, body)
            return
        headers = self.headers
        if self.form is AnswerForm.TRUNCATED:
            headers = [*headers, (b"Content-Length", b"%d" % len(body))]
            body = body[: len(body) // 2]
        self.caller.write(encode_head(OK_LINE, headers) + body)
        self._end_with_connection()

    def write_stream(self, events: Iterable[bytes]) -> None:
        """Write a stream of events as they come."""
        if self.form is AnswerForm.FRAMED:
            head = self.caller.begin_stream(200, b"OK", self.headers)
            for event in events:
                self.caller.write_events(head, event)
                head = b""
            self.caller.end_stream(head)
            return
        self.caller.write(encode_head(OK_LINE, self.headers))
        for number, event in enumerate(events):
            if self.form is not AnswerForm.CLOSE_DELIMITED and number == WHOLE_EVENTS:
                self.caller.write(event[: len(event) // 2])
                break
            self.caller.write(event)
        self._end_with_connection()

    def _end_with_connection(self) -> NoReturn:
        if self.form is AnswerForm.UNBOUNDED:
            for _ in range(MAX_PIECES):
                self.caller.write(PIECE)
        raise OSError("the answer ends with its connection")

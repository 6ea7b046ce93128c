"""Receive many streamed responses on one thread.

With one thread per stream, waking a thread for each token causes contention for the
global interpreter lock. Here a single thread receives all streams. The task of each
connection waits for the end of its stream and sends the data that its caller was too
slow to accept.
"""

import collections
import os
import select
import threading
import time
from concurrent.futures import Future
from typing import Callable

import pycurl
from absl import logging
from attrs import define, field
from result import Err, Result

from rosemaryyoke.wire.errors import ReadAborted, TransportError
from rosemaryyoke.wire.http import (
    HeaderParser,
    HttpRequest,
    check_head,
    set_options,
    transport_error,
)

NO_TIMER = -1.0
RECEIVE_BUFFER_BYTES = 4096
MAX_POLL_WAIT_S = 1.0
MAX_IDLE_HANDLES = 64


@define(eq=False)
class Transfer:
    """A streamed response in progress."""

    request: HttpRequest
    on_data: Callable[[bytes], object]
    header_parser: HeaderParser
    future: Future = field(factory=Future)
    aborted: ReadAborted | None = None

    def receive(self, data: bytes) -> int | None:
        """Pass data to the callback; abort the transfer if it raises."""
        try:
            self.on_data(data)
        except ReadAborted as error:
            # A traceback would keep this transfer until the next garbage collection.
            self.aborted = error.with_traceback(None)
            return -1
        except Exception as error:
            logging.exception("data callback of a streamed response failed")
            self.aborted = ReadAborted(str(error))
            return -1
        return None


class StreamReceiver:
    """Receives streamed responses on its own thread."""

    def __init__(self, name: str = "stream-receiver"):
        self.name = name
        self.lock = threading.Lock()
        self.queued: collections.deque[Transfer] = collections.deque()
        self.active: dict[pycurl.Curl, Transfer] = {}
        self.idle_handles: list[pycurl.Curl] = []
        self.timer_due_s = NO_TIMER
        self.stopping = False
        self.aborting = False
        self.wake_reader, self.wake_writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        self.epoll = select.epoll()
        self.epoll.register(self.wake_reader, select.EPOLLIN)
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self.thread = threading.Thread(target=self.run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread; active transfers fail with an error."""
        self.stopping = True
        self._wake()

    def abort(self) -> None:
        """Let all transfers fail, now and from now on."""
        self.aborting = True
        self._wake()

    def submit(
        self,
        request: HttpRequest,
        on_data: Callable[[bytes], object],
        header_parser: HeaderParser,
    ) -> "Future[Result[HeaderParser, TransportError]]":
        """Queue a transfer; ``on_data`` runs on the receiver's thread.

        If ``on_data`` raises ``ReadAborted``, so does the future.
        """
        transfer = Transfer(request, on_data, header_parser)
        self.queued.append(transfer)
        self._wake()
        return transfer.future

    def _wake(self) -> None:
        try:
            os.write(self.wake_writer, b"w")
        except BlockingIOError:
            pass

    def run(self) -> None:
        """Run the event loop until stopped."""
        while not self.stopping:
            events = self.epoll.poll(self._wait_s())
            if self.aborting:
                self._fail_all()
            self._start_queued()
            for descriptor, mask in events:
                if descriptor == self.wake_reader:
                    os.read(self.wake_reader, 4096)
                    continue
                self.multi.socket_action(descriptor, _curl_event_mask(mask))
            self._run_due_timer()
            self._collect_finished()
        for transfer in self.active.values():
            transfer.future.set_result(
                Err(TransportError("stream receiver stopped", True))
            )

    def _fail_all(self) -> None:
        while self.queued:
            error = TransportError("transfers are aborted", sent=False)
            self.queued.popleft().future.set_result(Err(error))
        for curl, transfer in list(self.active.items()):
            del self.active[curl]
            self.multi.remove_handle(curl)
            curl.close()
            error = TransportError("transfers are aborted", sent=True)
            transfer.future.set_result(Err(error))

    def _wait_s(self) -> float:
        if self.queued:
            return 0.0
        if self.timer_due_s == NO_TIMER:
            return MAX_POLL_WAIT_S
        return min(MAX_POLL_WAIT_S, max(0.0, self.timer_due_s - time.monotonic()))

    def _start_queued(self) -> None:
        while self.queued:
            transfer = self.queued.popleft()
            curl = self.idle_handles.pop() if self.idle_handles else pycurl.Curl()
            set_options(curl, transfer.request)
            curl.setopt(pycurl.BUFFERSIZE, RECEIVE_BUFFER_BYTES)
            curl.setopt(pycurl.HEADERFUNCTION, transfer.header_parser.feed)
            curl.setopt(pycurl.WRITEFUNCTION, transfer.receive)
            self.active[curl] = transfer
            self.multi.add_handle(curl)

    def _run_due_timer(self) -> None:
        if self.timer_due_s != NO_TIMER and time.monotonic() >= self.timer_due_s:
            self.timer_due_s = NO_TIMER
            self.multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)

    def _collect_finished(self) -> None:
        while True:
            remaining, done, failed = self.multi.info_read()
            for curl in done:
                self._finish_transfer(curl, None)
            for curl, code, message in failed:
                self._finish_transfer(curl, pycurl.error(code, message))
            if not remaining:
                return

    def _finish_transfer(self, curl: pycurl.Curl, error: pycurl.error | None) -> None:
        transfer = self.active.pop(curl)
        if error is not None:
            outcome: Result = Err(transport_error(curl, error))
        else:
            outcome = check_head(transfer.header_parser)
        self.multi.remove_handle(curl)
        curl.reset()
        if len(self.idle_handles) < MAX_IDLE_HANDLES:
            self.idle_handles.append(curl)
        else:
            curl.close()
        if transfer.aborted is not None:
            transfer.future.set_exception(transfer.aborted)
        else:
            transfer.future.set_result(outcome)

    def _watch_socket(self, event: int, descriptor: int, multi, data) -> None:
        if event == pycurl.POLL_REMOVE:
            try:
                self.epoll.unregister(descriptor)
            except (OSError, ValueError):
                pass
            return
        mask = 0
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            mask |= select.EPOLLIN
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            mask |= select.EPOLLOUT
        try:
            self.epoll.modify(descriptor, mask)
        except FileNotFoundError:
            self.epoll.register(descriptor, mask)

    def _set_timer(self, timeout_ms: int) -> None:
        if timeout_ms < 0:
            self.timer_due_s = NO_TIMER
        else:
            self.timer_due_s = time.monotonic() + timeout_ms / 1000


def _curl_event_mask(mask: int) -> int:
    action = 0
    if mask & select.EPOLLIN:
        action |= pycurl.CSELECT_IN
    if mask & select.EPOLLOUT:
        action |= pycurl.CSELECT_OUT
    if mask & (select.EPOLLERR | select.EPOLLHUP):
        action |= pycurl.CSELECT_ERR
    return action

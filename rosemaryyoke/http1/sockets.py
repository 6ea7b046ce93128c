"""TCP sockets that detect dead peers quickly."""

import functools
import re
import select
import socket

from attrs import frozen

MS_PER_S = 1_000
KEEPALIVE_IDLE_S = 1  # minimum on Linux
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2  # one lost probe must not close the connection
# A shorter TCP_USER_TIMEOUT would end a silent connection after the first lost probe.
KEEPALIVE_TIMEOUT_S = KEEPALIVE_IDLE_S + KEEPALIVE_PROBES * KEEPALIVE_INTERVAL_S
READ_BYTES = 65_536
OCTET = r"(?:0|[1-9][0-9]{0,2})"
ADDRESS = re.compile(rf"(?P<ip>{OCTET}(?:\.{OCTET}){{3}}):(?P<port>[0-9]{{1,5}})")
MAX_PORT = 65_535
ADDRESS_CACHE_SIZE = 2_048
MAX_SHOWN = 32  # characters of a malformed value in an error message
HANGUP_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


@frozen
class Address:
    """An IPv4 address and port."""

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse an address such as 10.0.0.1:80; raise ``ValueError``."""
        return parse_address(text)

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@functools.lru_cache(ADDRESS_CACHE_SIZE)
def parse_address(text: str) -> Address:
    """Parse an address; raise ``ValueError``."""
    found = ADDRESS.fullmatch(text)
    if found is None or int(found["port"]) > MAX_PORT:
        raise ValueError(f"{text[:MAX_SHOWN]!r} is no address")
    try:
        socket.inet_aton(found["ip"])
    except OSError as error:
        raise ValueError(f"{text!r} is no address") from error
    return Address(found["ip"], int(found["port"]))


def set_tcp_options(connection: socket.socket, user_timeout_s: float) -> None:
    """Disable Nagle's algorithm and set timeouts for unresponsive peers."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    limit_ms = int(user_timeout_s * MS_PER_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit_ms)


def connect(address: Address, timeout_s: float, user_timeout_s: float) -> socket.socket:
    """Return a connected socket; raise ``OSError`` on failure or timeout."""
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.settimeout(timeout_s)
        connection.connect((address.ip, address.port))
        set_tcp_options(connection, user_timeout_s)
        connection.settimeout(None)
    except OSError:
        connection.close()
        raise
    return connection


def listen(address: Address, backlog: int) -> socket.socket:
    """Return a listening socket."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.ip, address.port))
    listener.listen(backlog)
    return listener


def wait_readable(connection: socket.socket, timeout_s: float) -> bool:
    """Wait for data or end of file; return whether either arrived."""
    poller = select.poll()
    poller.register(connection, select.POLLIN)
    return bool(poller.poll(max(0.0, timeout_s) * MS_PER_S))


def is_reusable(connection: socket.socket) -> bool:
    """Return whether an idle connection is open and has no unread bytes."""
    return not wait_readable(connection, 0.0)


def close(connection: socket.socket) -> None:
    """Close a socket, ignoring errors."""
    try:
        connection.close()
    except OSError:
        pass

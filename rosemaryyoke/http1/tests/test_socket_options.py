"""Options of sockets that decide when a silent connection is lost."""

import socket

from rosemaryyoke.exchanges import connections
from rosemaryyoke.forwarding import sender
from rosemaryyoke.http1.sockets import set_tcp_options


def option(connection, name):
    """Return a TCP option of a socket."""
    return connection.getsockopt(socket.IPPROTO_TCP, name)


# Guards against sound connections that are ended by a single lost keep-alive probe.
def test_user_timeout_leaves_time_for_all_probes():
    for user_timeout_s in (connections.TCP_USER_TIMEOUT_S, sender.TCP_USER_TIMEOUT_S):
        with socket.socket() as connection:
            set_tcp_options(connection, user_timeout_s)
            probes = option(connection, socket.TCP_KEEPCNT)
            interval_s = option(connection, socket.TCP_KEEPINTVL)
            idle_s = option(connection, socket.TCP_KEEPIDLE)
            timeout_ms = option(connection, socket.TCP_USER_TIMEOUT)
        assert probes >= 2
        assert timeout_ms >= 1_000 * (idle_s + probes * interval_s)

import socket
import threading

from rosemaryyoke.core import EventRecorder, Kernel
from rosemaryyoke.membership import Links, Member, MemberTable
from rosemaryyoke.membership.codec import decode_members
from rosemaryyoke.peers import Channel

KEY = b"0123456789abcdef"


class ManualTimer:
    """A timer that never runs callbacks."""

    def after(self, delay_s, callback):
        """Ignore the callback."""


def member(name, **changes):
    return Member(name, f"http-{name}", f"peer-{name}", "Kamloops", 1, **changes)


def channel_pair():
    """Return both ends of a connected channel."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        left = socket.create_connection(listener.getsockname())
        right, _ = listener.accept()
    ends = {}

    def open_end(name, connection):
        ends[name] = Channel(connection, KEY, EventRecorder(name))

    thread = threading.Thread(target=open_end, args=("left", left))
    thread.start()
    open_end("right", right)
    thread.join()
    return ends["left"], ends["right"]


def make_links():
    kernel = Kernel()
    kernel.add("recorder", EventRecorder("test"))
    links = Links(kernel, MemberTable(member("me")), KEY, [])
    links.timer = ManualTimer()
    return links


def test_flush_skips_closed_link():
    links = make_links()
    closed, _ = channel_pair()
    links._add_link(closed)
    ours, theirs = channel_pair()
    links._add_link(ours)
    closed.close()
    links.announce(member("news"))
    links.flush()
    names = [item.name for item in decode_members(theirs.receive(1.0))]
    assert names == ["me", "news"]
    assert closed not in links.links


def test_second_update_of_a_member_is_short():
    links = make_links()
    ours, theirs = channel_pair()
    links._add_link(ours)
    links.flush()
    theirs.receive(1.0)
    links.announce(links.table.update_local(revision=7))
    links.flush()
    (short,) = decode_members(theirs.receive(1.0))
    assert (short.address, short.revision) == ("", 7)

"""Encode and decode members and notices as messages between hosts."""

from attrs import frozen

from rosemaryyoke.membership.table import FAILED, Member
from rosemaryyoke.peers import Message, PeerError


@frozen
class UpstreamNotice:
    """Announcement that an upstream is leaving, or is back at an address."""

    name: str
    address: str
    leaving: bool


def encode_members(members: list[Member], omit_addresses: bool = False):
    """Return a message with members, optionally without their addresses."""
    message = Message.new_message()
    items = message.init("members", len(members))
    for item, member in zip(items, members):
        item.name = member.name
        item.incarnation = member.incarnation
        item.version = member.version
        item.standing = member.standing
        item.leaving = member.leaving
        item.revision = member.revision
        item.platformFailed = member.platform_failed
        if not omit_addresses:
            item.httpAddress = member.address
            item.peerAddress = member.peer_address
            item.dataCentre = member.data_centre
    return message


def decode_members(message) -> list[Member]:
    """Return the members of a message; raise ``PeerError`` if one is invalid."""
    members = []
    for item in message.members:
        if item.standing > FAILED or not item.name:
            raise PeerError("member has no name or an unknown standing")
        members.append(
            Member(
                item.name,
                item.httpAddress,
                item.peerAddress,
                item.dataCentre,
                item.incarnation,
                item.version,
                item.standing,
                item.leaving,
                item.revision,
                item.platformFailed,
            )
        )
    return members


def encode_notices(notices: list[UpstreamNotice]):
    """Return a message with upstream notices."""
    message = Message.new_message()
    for item, notice in zip(message.init("notices", len(notices)), notices):
        item.name = notice.name
        item.address = notice.address
        item.leaving = notice.leaving
    return message


def decode_notices(message) -> list[UpstreamNotice]:
    """Return the upstream notices of a message."""
    return [
        UpstreamNotice(item.name, item.address, item.leaving)
        for item in message.notices
    ]


def make_heartbeat():
    """Return a heartbeat message."""
    message = Message.new_message()
    message.heartbeat = None
    return message

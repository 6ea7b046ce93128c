"""The hosts of the system, as this host knows them."""

import threading

from attrs import evolve, frozen
from result import Err

from rosemaryyoke.core import Kernel
from rosemaryyoke.placement.rendezvous import rank
from rosemaryyoke.platform import LEAVING, LIVE, ListedHost, ObjectApi
from rosemaryyoke.settings import Settings

LIST_PERIOD_S = 1.0
HOMES_PER_ACCOUNT = 2


@frozen
class Member:
    """One host."""

    name: str
    address: str
    data_centre: str
    state: str
    peer_address: str = ""
    revision: int = 0


class Members:
    """Know the hosts and which of them are an account's homes."""

    def __init__(self, kernel: Kernel, settings: Settings, api: ObjectApi):
        self.kernel = kernel
        self.settings = settings
        self.api = api
        self.lock = threading.Lock()
        self.me = Member(
            settings.name,
            settings.http_address,
            settings.data_centre,
            LIVE,
            settings.peer_address,
        )
        self.members: dict[str, Member] = {settings.name: self.me}

    def start(self) -> None:
        """Follow the platform's list of hosts."""
        self.kernel.get("timer").every(LIST_PERIOD_S, self.refresh)

    def stop(self) -> None:
        """Do nothing; the timer ends the refreshing."""

    def refresh(self) -> None:
        """Take in the platform's list."""
        listed = self.api.hosts()
        if isinstance(listed, Err):
            return
        with self.lock:
            members = {host.name: _member(host) for host in listed.ok_value}
            members[self.me.name] = self.me
            self.members = members
        leaving = {host.name for host in listed.ok_value if host.state == LEAVING}
        self.kernel.get("directory").set_leaving(leaving)

    def leave(self) -> None:
        """Take no new callers from now on."""
        with self.lock:
            self.me = evolve(self.me, state=LEAVING)
            self.members[self.me.name] = self.me

    def all(self) -> list[Member]:
        """Return all hosts known, by name."""
        with self.lock:
            return sorted(self.members.values(), key=lambda member: member.name)

    def live(self) -> list[Member]:
        """Return the hosts that take callers."""
        return [member for member in self.all() if member.state == LIVE]

    def homes(self, account: str, data_centre: str = "") -> list[Member]:
        """Return an account's home hosts, those of a data centre first."""
        live = {member.name: member for member in self.live()}
        names = rank(account.encode(), live, HOMES_PER_ACCOUNT)
        homes = [live[name] for name in names]
        return sorted(homes, key=lambda member: member.data_centre != data_centre)

    def home_count(self, account: str) -> int:
        """Return the number of an account's home hosts."""
        return min(HOMES_PER_ACCOUNT, len(self.live()))


def _member(host: ListedHost) -> Member:
    return Member(
        host.name, host.address, host.data_centre, host.state, host.peer_address
    )

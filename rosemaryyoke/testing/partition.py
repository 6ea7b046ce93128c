"""Run a program whose connections to some ports can be cut from outside.

The parent process writes the partition to a file. Links can't do this: all hosts share
the link to an upstream.

Example::

    python -m rosemaryyoke.testing.partition partition.json rosemaryyoke route ...
"""

import os
import runpy
import socket
import struct
import sys
import threading
import time
import weakref
from contextlib import suppress
from pathlib import Path

import orjson
from attrs import asdict, define, field, frozen

HANGING, RESETTING, REFUSING = "hanging", "resetting", "refusing"
MODES = (HANGING, RESETTING, REFUSING)
POLL_S = 0.01
MAX_CONNECT_S = 5.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

system_connect = socket.socket.connect


@frozen
class Partition:
    """The unreachable ports, and how connections to them fail.

    While new connections are refused, those that are open live on.
    """

    mode: str = REFUSING
    ports: tuple[int, ...] = ()

    def save(self, path: Path) -> None:
        """Write the partition to the file that the process reads."""
        draft = path.with_suffix(".new")
        draft.write_bytes(orjson.dumps(asdict(self)))
        os.replace(draft, path)


def load_partition(path: Path) -> Partition:
    """Return the partition in a file, or none if there is no file."""
    with suppress(FileNotFoundError):
        document = orjson.loads(path.read_bytes())
        return Partition(document["mode"], tuple(document["ports"]))
    return Partition()


def make_silent_pair() -> tuple[socket.socket, socket.socket]:
    """Return both ends of an idle TCP connection."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        near = socket.socket()
        system_connect(near, listener.getsockname())
        return near, listener.accept()[0]


@define(eq=False)
class ConnectionCutter:
    """Cuts the process off from the ports that its file names."""

    path: Path
    partition: Partition = field(factory=Partition)
    opened: weakref.WeakKeyDictionary = field(factory=weakref.WeakKeyDictionary)
    silenced: list[socket.socket] = field(factory=list)
    lock: threading.Lock = field(factory=threading.Lock)

    def install(self) -> None:
        """Take the place of the system's connect, and follow the file."""
        cutter = self

        def connect(connection: socket.socket, address) -> None:
            cutter.connect(connection, address)

        socket.socket.connect = connect
        threading.Thread(target=self.follow, daemon=True).start()

    def follow(self) -> None:
        """Read the file again and again, and cut what it names."""
        while True:
            self.apply(load_partition(self.path))
            time.sleep(POLL_S)

    def apply(self, partition: Partition) -> None:
        """Put a partition in force."""
        with self.lock:
            if partition == self.partition:
                return
            self.partition = partition
            cut = [
                connection
                for connection, port in self.opened.items()
                if port in partition.ports and connection.fileno() >= 0
            ]
        for connection in cut:
            self.end(connection, partition.mode)

    def end(self, connection: socket.socket, mode: str) -> None:
        """Reset or silence an open connection, depending on the mode."""
        if mode == REFUSING:
            return
        with suppress(OSError), connection.dup() as old:
            near, far = make_silent_pair()
            if mode == HANGING:
                self.silenced.append(far)
            else:
                far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                far.close()
            with near:
                os.dup2(near.fileno(), connection.fileno())
            if mode == RESETTING:
                # Wakes the threads that wait on the connection.
                old.shutdown(socket.SHUT_RDWR)

    def connect(self, connection: socket.socket, address) -> None:
        """Connect, or fail in the way of the partition."""
        port = address[1] if isinstance(address, tuple) else None
        with self.lock:
            partition = self.partition
        if port not in partition.ports:
            system_connect(connection, address)
            with self.lock:
                self.opened[connection] = port
        elif partition.mode == HANGING:
            time.sleep(min(connection.gettimeout() or MAX_CONNECT_S, MAX_CONNECT_S))
            raise TimeoutError("timed out")
        elif partition.mode == RESETTING:
            raise ConnectionResetError("connection reset")
        else:
            raise ConnectionRefusedError("connection refused")


def main() -> None:
    """Install the cutter and run the program with the remaining arguments."""
    path, program, *arguments = sys.argv[1:]
    ConnectionCutter(Path(path)).install()
    sys.argv = [program, *arguments]
    runpy.run_module(program, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()

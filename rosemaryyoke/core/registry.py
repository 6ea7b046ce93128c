"""Registries that are filled by decorators."""

from typing import Callable, Generic, TypeVar

Entry = TypeVar("Entry")


class UnknownEntry(LookupError):
    """The registry has no entry of the requested name."""

    def __init__(self, subject: str, name: str, known: list[str]):
        super().__init__(f"unknown {subject} {name!r}; known: {', '.join(known)}")
        self.subject = subject
        self.name = name
        self.known = known


class Registry(Generic[Entry]):
    """Map names to the implementations of one subject."""

    def __init__(self, subject: str):
        self.subject = subject
        self.entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that registers its target under ``name``."""

        def decorate(entry: Entry) -> Entry:
            if name in self.entries:
                raise ValueError(f"{self.subject} {name!r} is already registered")
            self.entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> Entry:
        """Return the entry; raise ``UnknownEntry`` for an unknown name."""
        if name not in self.entries:
            raise UnknownEntry(self.subject, name, self.names())
        return self.entries[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self.entries)

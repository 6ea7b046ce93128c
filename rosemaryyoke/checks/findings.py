"""Findings of configuration checks."""

from typing import Any, Iterable

from attrs import frozen

ERROR = "error"
WARNING = "warning"

Place = tuple[str | int, ...]


@frozen
class Finding:
    """An error or a warning, its code, and its place in the checked file.

    ``place`` is a path of names and indexes. ``line`` and ``column`` are 1-based, and 0
    if the position in the text is not known.
    """

    severity: str
    code: str
    place: Place
    message: str
    line: int = 0
    column: int = 0

    def format(self, file: str) -> str:
        """Return the finding as one line of text."""
        position = f"{file}:{self.line}:{self.column}:" if self.line else f"{file}:"
        label = "warning: " if self.severity == WARNING else ""
        place = format_place(self.place)
        where = f"{place}: " if place else ""
        return f"{position} {label}{where}{self.message} [{self.code}]"

    def as_dict(self) -> dict[str, Any]:
        """Return the finding as a JSON object."""
        return {
            "severity": self.severity,
            "code": self.code,
            "place": format_place(self.place),
            "line": self.line,
            "column": self.column,
            "message": self.message,
        }


def format_place(place: Place) -> str:
    """Return a place such as ``routes[3].name``."""
    text = ""
    for part in place:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Return findings in the order of the text; of equal position, by code."""
    return sorted(findings, key=lambda item: (item.line, item.column, item.code))

"""Errors in rules files."""

from attrs import frozen


@frozen
class RuleFault:
    """An error in a rules file and its position."""

    line: int
    column: int
    message: str

    def located(self, file: str) -> str:
        """Return ``file:line:column: message``."""
        return f"{file}:{self.line}:{self.column}: {self.message}"

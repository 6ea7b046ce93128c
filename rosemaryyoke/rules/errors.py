"""Errors of the rules layer."""

from attrs import frozen


@frozen
class RuleFault:
    """A fault in a rules file and its place."""

    line: int
    column: int
    message: str

    def located(self, file: str) -> str:
        """Return ``file:line:column: message``."""
        return f"{file}:{self.line}:{self.column}: {self.message}"

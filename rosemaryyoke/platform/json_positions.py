"""Positions of values in JSON texts."""

import re
from bisect import bisect_right
from json import JSONDecoder
from json.decoder import scanstring

from attrs import define, field

from rosemaryyoke.checks import Place

SPACE = re.compile(r"[ \t\r\n]*")
LINE_END = re.compile(r"\n")
DECODER = JSONDecoder()


@define
class JsonPositions:
    """The offset of each value of a valid JSON text, by its place.

    ``repeated`` are places of names that occur again in the same object; JSON readers
    use only the last one.
    """

    text: str
    offsets: dict[Place, int] = field(factory=dict)
    repeated: list[Place] = field(factory=list)
    line_starts: list[int] = field(init=False)

    @line_starts.default
    def _line_starts(self) -> list[int]:
        return [0, *(match.end() for match in LINE_END.finditer(self.text))]

    @classmethod
    def scan(cls, text: str) -> "JsonPositions":
        """Return the positions of a text that a JSON parser has accepted.

        Raise ``RecursionError`` for a text that is nested too deeply.
        """
        positions = cls(text)
        positions._scan_value((), 0)
        return positions

    def find(self, place: Place) -> tuple[int, int]:
        """Return the 1-based line and column of a place, or of what encloses it."""
        while place not in self.offsets:
            place = place[:-1]
        offset = self.offsets[place]
        line = bisect_right(self.line_starts, offset)
        return line, offset - self.line_starts[line - 1] + 1

    def _skip_space(self, offset: int) -> int:
        return SPACE.match(self.text, offset).end()

    def _scan_value(self, place: Place, offset: int) -> int:
        """Record the value at an offset and those in it; return the offset behind."""
        offset = self._skip_space(offset)
        self.offsets[place] = offset
        if self.text[offset] == "{":
            return self._scan_object(place, offset + 1)
        if self.text[offset] == "[":
            return self._scan_array(place, offset + 1)
        return DECODER.raw_decode(self.text, offset)[1]

    def _scan_object(self, place: Place, offset: int) -> int:
        offset = self._skip_space(offset)
        names: set[str] = set()
        while self.text[offset] != "}":
            name, offset = scanstring(self.text, offset + 1)
            if name in names:
                self.repeated.append((*place, name))
            names.add(name)
            colon = self._skip_space(offset)
            offset = self._skip_space(self._scan_value((*place, name), colon + 1))
            if self.text[offset] == ",":
                offset = self._skip_space(offset + 1)
        return offset + 1

    def _scan_array(self, place: Place, offset: int) -> int:
        offset = self._skip_space(offset)
        index = 0
        while self.text[offset] != "]":
            offset = self._skip_space(self._scan_value((*place, index), offset))
            index += 1
            if self.text[offset] == ",":
                offset = self._skip_space(offset + 1)
        return offset + 1

"""JSON of which parts can't be decoded: too deep, out of range, or not Unicode.

A document of the store holds entries of several writers, so one that can't be decoded
must not take the others with it.
"""

import re
from typing import Iterator

import orjson
from absl import logging

# A page of the store: the page, its items, an item, its content, and a field's value.
MAX_SPLIT_DEPTH = 4
STRING = rb'"(?:[^"\\]++|\\.)*+"'
# A run of brackets or a comma, after any strings and scalars.
MARK = re.compile(rb'(?:[^"\[\]{},]++|' + STRING + rb")*+(?:([\[{]+)|([\]}]+)|,)", re.S)
MEMBER = re.compile(rb"\s*(" + STRING + rb")\s*:", re.S)


def decode_json(data: bytes) -> object:
    """Decode JSON without the members and elements that can't be decoded.

    Raise ``ValueError`` if the whole can't be.
    """
    try:
        return orjson.loads(data)
    except ValueError as error:
        found = decode_parts(data, MAX_SPLIT_DEPTH)
        logging.warning("parts of a JSON document are left out: %s", error)
        return found


def decode_parts(data: bytes, depth: int) -> object:
    """Decode the parts of an object or array that can be decoded."""
    try:
        return orjson.loads(data)
    except ValueError:
        data = data.strip()
        if depth and data[:1] == b"{" and data[-1:] == b"}":
            return decode_object(data, depth - 1)
        if depth and data[:1] == b"[" and data[-1:] == b"]":
            return decode_array(data, depth - 1)
        raise


def decode_object(data: bytes, depth: int) -> dict[str, object]:
    """Decode the members of an object that can be decoded."""
    found = {}
    for part in split_parts(data):
        member = MEMBER.match(part)
        if member is None:
            continue
        try:
            name = orjson.loads(member[1])
            found[name] = decode_parts(part[member.end() :], depth)
        except ValueError:
            continue
    return found


def decode_array(data: bytes, depth: int) -> list[object]:
    """Decode the elements of an array that can be decoded."""
    found = []
    for part in split_parts(data):
        try:
            found.append(decode_parts(part, depth))
        except ValueError:
            continue
    return found


def split_parts(data: bytes) -> Iterator[bytes]:
    """Yield what lies between the commas of an object or array."""
    level, start, end = 0, 1, len(data) - 1
    for mark in MARK.finditer(data, start, end):
        opened, closed = mark.groups()
        if opened:
            level += len(opened)
        elif closed:
            level -= len(closed)
        elif level == 0:
            yield data[start : mark.end() - 1]
            start = mark.end()
    if data[start:end].strip():
        yield data[start:end]


def encode_json(value: object) -> bytes:
    """Encode a value as JSON, without members that are nested too deeply."""
    try:
        return orjson.dumps(value)
    except TypeError:
        if not isinstance(value, dict):
            raise
        return orjson.dumps({key: item for key, item in value.items() if fits(item)})


def fits(value: object) -> bool:
    """Return whether a value can be encoded as JSON."""
    try:
        orjson.dumps(value)
    except TypeError:
        return False
    return True

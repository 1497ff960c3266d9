"""Operators' files: a whole document, or a change of one, as TOML or JSON.

A whole document has the keys ``services``, ``routes``, ``plans`` and ``tenants``, each a list of items. A
change has ``base``, ``put`` (the same four lists) and ``remove`` (four lists of names). Every unknown key and
every value of a wrong type is told with its path; nothing is guessed.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeAlias, get_args, get_origin

import msgspec

from brackenloft.configuration.messages import Fault
from brackenloft.configuration.model import Delta, Items

LONGEST_FILE_BYTES = 64 * 1024 * 1024
DELTA_KEYS = frozenset(("base", "put", "remove"))
LONGEST_SHOWN_CHARS = 60  # of a value or key of the file in a reason

Content: TypeAlias = Items | Delta


class UnreadableFile(ValueError):  # noqa: N818
    """A file that is no TOML or JSON at all, or too long."""


class FaultyFile(ValueError):  # noqa: N818
    """A file whose values are not what a document or a change has; ``faults`` are all of them."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__(f"{len(faults)} faults")
        self.faults = faults


def load(path: Path) -> Content:
    """Read a file. UnreadableFile or FaultyFile if it is not one; whether it is valid is not checked."""
    return read(_table(path))


def read(table: object) -> Content:
    """From a file's content to a document, or to a change if it has one of the keys of a change."""
    kind: type[Content] = Items
    if isinstance(table, dict) and DELTA_KEYS & table.keys():
        kind = Delta
    faults = tuple(_faults(table, kind, ""))
    if faults:
        raise FaultyFile(faults)
    return msgspec.convert(table, kind)


def _table(path: Path) -> object:
    try:
        with path.open("rb") as file:
            data = file.read(LONGEST_FILE_BYTES + 1)
    except OSError as error:
        raise UnreadableFile(f"{path}: {error.strerror or error}") from error
    if len(data) > LONGEST_FILE_BYTES:
        raise UnreadableFile(f"{path}: longer than {LONGEST_FILE_BYTES} bytes")
    try:
        if path.suffix == ".json":
            found: object = msgspec.json.decode(data)
            return found
        return tomllib.loads(data.decode())
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableFile(f"{path}: {error}") from error


def _faults(value: object, kind: Any, path: str) -> Iterator[Fault]:
    """What keeps a value from being of a type: a struct, a tuple of any length, or a plain type."""
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_faults(value, kind, path)
    elif get_origin(kind) is tuple:
        yield from _list_faults(value, get_args(kind)[0], path)
    else:
        try:
            msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            yield Fault(path, str(error))


def _struct_faults(value: object, kind: type[msgspec.Struct], path: str) -> Iterator[Fault]:
    if not isinstance(value, dict):
        yield Fault(path, f"not a table: {_shown(value)}")
        return
    fields = msgspec.structs.fields(kind)
    prefix = f"{path}." if path else ""
    for unknown in sorted(value.keys() - {field.encode_name for field in fields}):
        yield Fault(f"{prefix}{_shown_key(unknown)}", "no such key")
    for field in fields:
        if field.encode_name in value:
            yield from _faults(value[field.encode_name], field.type, prefix + field.encode_name)
        elif field.required:
            yield Fault(prefix + field.encode_name, "is missing")


def _list_faults(value: object, kind: Any, path: str) -> Iterator[Fault]:
    if not isinstance(value, list):
        yield Fault(path, f"not a list: {_shown(value)}")
        return
    for number, item in enumerate(value):
        yield from _faults(item, kind, _item_path(path, number, item))


def _item_path(path: str, number: int, item: object) -> str:
    """By name, as validation has it, where an item has one."""
    name = item.get("name") if isinstance(item, dict) else None
    if isinstance(name, str) and name.isprintable() and 0 < len(name) <= LONGEST_SHOWN_CHARS:
        return f"{path}.{name}"
    return f"{path}[{number}]"


def _shown(value: object) -> str:
    text = repr(value)
    return text if len(text) <= LONGEST_SHOWN_CHARS else f"{text[:LONGEST_SHOWN_CHARS]}..."


def _shown_key(key: str) -> str:
    return key if key.isprintable() and len(key) <= LONGEST_SHOWN_CHARS else _shown(key)

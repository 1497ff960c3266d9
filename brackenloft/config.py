"""Configuration of the program's own subcommands, from a TOML or JSON file, checked key by key.

The platform's gateway (bare ``python -m brackenloft``) is told by the platform and reads none of this.
"""

from __future__ import annotations

import difflib
import json
import tomllib
from dataclasses import MISSING, dataclass, field, fields
from enum import Enum
from pathlib import Path
from types import UnionType
from typing import Any, TypeVar, Union, get_args, get_origin, get_type_hints

from brackenloft import interface as api
from brackenloft.edge import Node, Room

T = TypeVar("T")
Address = tuple[str, int]
LAST_PORT = 65535


class ConfigError(ValueError):
    """A configuration that can't be used, in one line that names the key."""


@dataclass(frozen=True, slots=True)
class Site:
    """What all gateways of an installation agree on, and this one's place among them."""

    gateways: int = 1
    index: int = 0
    zone: str = ""
    load_fields: tuple[str, ...] = ()
    meter_period_ms: float = 0.0
    largest_units: float = 1.0
    settles: bool = False
    tick_ms: float = 1.0
    cross_zone_price: float = 0.0


@dataclass(frozen=True, slots=True)
class Document:
    """The file. Servers come from ``discovery`` ("host:port"), are listed as ``nodes``, or come from the
    sources of a file of their own, ``membership``, whose place is seen from this one.
    """

    classes: tuple[api.RequestClass, ...]
    plans: tuple[api.Plan, ...]
    listen: str = "127.0.0.1:6379"
    discovery: str | None = None
    admin: str | None = None  # the second address, for operators
    nodes: tuple[Node, ...] = ()
    membership: str | None = None
    graphql: str | None = None  # a file that switches the GraphQL front on
    counter: str | None = None  # a file that names the counter through which gateways sum quotas
    fleet: str | None = None  # a file of stores and tasks that all gateways share
    control: str | None = None  # a file of control servers, whose configuration this gateway follows
    seed: int | None = None
    site: Site = field(default_factory=Site)
    attempts: api.Limits = field(default_factory=api.Limits)
    rules: api.Contract = field(default_factory=api.Contract)
    room: Room = field(default_factory=Room)


@dataclass(frozen=True, slots=True)
class Config:
    """What a gateway of one's own is told."""

    settings: api.Settings
    listen: Address
    discovery: Address | None
    nodes: tuple[Node, ...]
    room: Room
    seed: int | None
    admin: Address | None = None
    membership: Path | None = None
    graphql: Path | None = None
    counter: Path | None = None
    fleet: Path | None = None
    control: Path | None = None


def load(path: Path) -> Config:
    """Read and check a file; ConfigError for whatever is wrong with it."""
    try:
        return read(table_of(path), path.parent)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def read_file(kind: type[T], path: Path) -> T:
    """A file of its own with a table of this kind; ConfigError for whatever is wrong with it."""
    try:
        return build(kind, table_of(path), "")
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def table_of(path: Path) -> object:
    """A file's content; ConfigError if it can't be read."""
    try:
        text = path.read_text()
        table: object = json.loads(text) if path.suffix == ".json" else tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"can't be read: {error}") from error
    except ValueError as error:
        raise ConfigError(" ".join(str(error).split())) from error
    return table


def read(table: object, place: Path = Path()) -> Config:
    """From the file's content; ConfigError names the key. ``place``: where files that it names are."""
    document = build(Document, table, "")
    if bool(document.nodes) + (document.discovery is not None) + (document.membership is not None) != 1:
        raise ConfigError("discovery: either this, nodes or membership is to be given")
    if document.control and document.counter:
        raise ConfigError("control: can't be used together with counter, which knows the file's plans alone")
    site = document.site
    try:
        settings = api.Settings(
            gateways=site.gateways,
            index=site.index,
            zone=site.zone,
            classes=document.classes,
            plans=document.plans,
            limits=document.attempts,
            contract=document.rules,
            load_fields=site.load_fields,
            meter_period_ms=site.meter_period_ms,
            largest_units=site.largest_units,
            settles=site.settles,
            tick_ms=site.tick_ms,
            cross_zone_price=site.cross_zone_price,
            plans_change=document.control is not None,
        )
    except ValueError as error:
        raise ConfigError(f"site: {error}") from error
    names = [node.name for node in document.nodes]
    if len(set(names)) != len(names):
        raise ConfigError("nodes: names one twice")
    discovery = None if document.discovery is None else address(document.discovery, "discovery")
    admin = None if document.admin is None else address(document.admin, "admin")
    return Config(
        settings,
        address(document.listen, "listen"),
        discovery,
        document.nodes,
        document.room,
        document.seed,
        admin,
        place / document.membership if document.membership else None,
        place / document.graphql if document.graphql else None,
        place / document.counter if document.counter else None,
        place / document.fleet if document.fleet else None,
        place / document.control if document.control else None,
    )


def address(text: str, where: str) -> Address:
    """``host:port``; port 0 is one of the system's choice."""
    host, colon, port = text.rpartition(":")
    if not host or not colon or not port.isdecimal() or int(port) > LAST_PORT:
        raise ConfigError(f"{where}: not host:port: {text!r}")
    return host, int(port)


def build(kind: type[T], table: object, where: str) -> T:
    """A dataclass from a table whose keys are its fields; ``where`` is the table's own place, with a dot."""
    if not isinstance(table, dict):
        raise ConfigError(f"{where.rstrip('.') or 'the file'}: not a table")
    known = {item.name: item for item in fields(kind)}  # type: ignore[arg-type]
    for key in table:
        if key not in known:
            near = difflib.get_close_matches(str(key), known, 1)
            raise ConfigError(f"{where}{key}: unknown key" + (f", {near[0]} is meant?" if near else ""))
    hints = get_type_hints(kind)
    values = {}
    for name, item in known.items():
        if name in table:
            values[name] = _value(hints[name], table[name], where + name)
        elif item.default is MISSING and item.default_factory is MISSING:
            raise ConfigError(f"{where}{name}: is missing")
    try:
        return kind(**values)
    except ValueError as error:
        raise ConfigError(f"{where.rstrip('.') or 'the file'}: {error}") from error


def _value(hint: Any, value: object, where: str) -> Any:
    if get_origin(hint) in (Union, UnionType):
        (hint,) = [part for part in get_args(hint) if part is not type(None)]
    if get_origin(hint) is tuple:
        if not isinstance(value, list):
            raise ConfigError(f"{where}: not a list")
        return tuple(_value(get_args(hint)[0], item, f"{where}[{n}]") for n, item in enumerate(value))
    if isinstance(hint, type) and issubclass(hint, Enum):
        names = [item.value for item in hint]
        if value not in names:
            raise ConfigError(f"{where}: {value!r} is none of {', '.join(names)}")
        return hint(value)
    if hasattr(hint, "__dataclass_fields__"):
        return build(hint, value, where + ".")
    return _plain(hint, value, where)


def _plain(hint: type, value: object, where: str) -> Any:
    if hint is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if not isinstance(value, hint) or (isinstance(value, bool) and hint is not bool):
        words = {float: "a number", int: "a whole number", bool: "true or false", str: "a text"}
        raise ConfigError(f"{where}: {value!r} is not {words.get(hint, hint.__name__)}")
    return value

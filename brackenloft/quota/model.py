"""What gateways write to the counter and read from it: figures that only grow, and where they stand. Pure.

A customer's figures are a hash at ``PREFIX:c:PLAN:CUSTOMER``, with a field for each run of a gateway: what it
has let in since it started, and how much it lets in a second now, both in thousandths of a unit. Each gateway
writes its own field alone, so a report that is lost, late or repeated does no harm, and of two the larger is
newer. ``PREFIX:gateways`` has a number for each run that grows while it reaches the counter, ``PREFIX:epoch``
a name that was drawn when the counter was empty.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

THOUSANDTHS = 1000.0
MOST_FIELDS = 4096  # of a hash: gateways times their restarts while a key lasts; beyond it is not ours
FIELD = re.compile(rb"([0-9]{1,6})\.([0-9a-z]{1,32})")
FIGURES = re.compile(rb"([0-9]{1,15}):([0-9]{1,12})")  # a million units a second for thirty years
NUMBER = re.compile(rb"[0-9]{1,15}")
EPOCH = re.compile(rb"[0-9a-z]{1,64}")


class NonsenseError(ValueError):
    """The counter holds what no gateway writes."""


@dataclass(frozen=True, slots=True, order=True)
class Run:
    """One start of a gateway's process."""

    gateway: int
    nonce: str

    def field(self) -> bytes:
        """Its name in the counter's hashes."""
        return b"%d.%b" % (self.gateway, self.nonce.encode())


@dataclass(frozen=True, slots=True)
class Figures:
    """What one run has let in of one customer: in all, and in a second now."""

    units: int
    rate: int

    def text(self) -> bytes:
        """As the counter keeps it."""
        return b"%d:%d" % (self.units, self.rate)


def run_of(field: bytes) -> Run:
    """The run that a field belongs to."""
    match = FIELD.fullmatch(field)
    if not match:
        raise NonsenseError(f"no gateway's field: {field[:40]!r}")
    return Run(int(match[1]), match[2].decode())


def figures_of(hash_: Mapping[bytes, bytes]) -> dict[Run, Figures]:
    """A customer's hash. Nonsense in one field spoils the whole, as nothing in it can be trusted then."""
    found = {}
    for field, value in _bounded(hash_):
        match = FIGURES.fullmatch(value)
        if not match:
            raise NonsenseError(f"no figures: {value[:40]!r}")
        found[run_of(field)] = Figures(int(match[1]), int(match[2]))
    return found


def beats_of(hash_: Mapping[bytes, bytes]) -> dict[Run, int]:
    """The hash of gateways: how far each run has counted."""
    found = {}
    for field, value in _bounded(hash_):
        if not NUMBER.fullmatch(value):
            raise NonsenseError(f"no number: {value[:40]!r}")
        found[run_of(field)] = int(value)
    return found


def epoch_of(value: bytes | None) -> str:
    """The name of the counter's time since it was empty."""
    if value is None or not EPOCH.fullmatch(value):
        raise NonsenseError(f"no epoch: {value[:40] if value else value!r}")
    return value.decode()


def _bounded(hash_: Mapping[bytes, bytes]) -> Iterable[tuple[bytes, bytes]]:
    """Guards against a hash of another program that would fill the memory here."""
    if len(hash_) > MOST_FIELDS:
        raise NonsenseError(f"{len(hash_)} fields")
    return hash_.items()


@dataclass(frozen=True, slots=True)
class Row:
    """One customer in a report."""

    plan: str
    customer: str
    figures: Figures
    keeps: bool = True  # whether the counter's memory of it is to be renewed


@dataclass(frozen=True, slots=True)
class Report:
    """One round trip: what is written, and of whom the figures are read back."""

    run: Run
    beat: int
    epoch: str  # to be set where there is none
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class Reply:
    """What came back for it; a hash for each row, in order."""

    epoch: str
    beats: Mapping[Run, int]
    rows: tuple[Mapping[Run, Figures], ...]

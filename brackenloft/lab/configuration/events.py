"""Events of a history of configuration, and the files that they are written to.

All times are of the system's monotonic clock, which the processes of a machine share. Which side of the thing
that it tells of an event's time lies on is said with each event, because the checkers rely on it.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import TypeAlias

import msgspec

from brackenloft.configuration.model import Delta, Record
from brackenloft.lab.fleet.history import now_ms

__all__ = ["EventWriter", "log_to", "now_ms", "read_events"]
STDERR = 2


class RunStarted(msgspec.Struct, frozen=True, tag=True):
    """A process of a gateway began. ``process`` is the operating system's process that carries it."""

    at_ms: float
    run: str
    gateway: str
    region: str
    process: str


class RunEnrolled(msgspec.Struct, frozen=True, tag=True):
    """A run received its first answer with configuration; it was enrolled before ``at_ms``."""

    at_ms: float
    run: str


class RunLeft(msgspec.Struct, frozen=True, tag=True):
    """A run is about to say that it leaves."""

    at_ms: float
    run: str


class ProcessEnded(msgspec.Struct, frozen=True, tag=True):
    """A process is about to be killed, or to be told to end."""

    at_ms: float
    process: str


class InForce(msgspec.Struct, frozen=True, tag=True):
    """A run has swapped to a revision, before ``at_ms`` and before it told anyone."""

    at_ms: float
    run: str
    revision: int
    digest: bytes


class Served(msgspec.Struct, frozen=True, tag=True):
    """A request began, or a lookup like a request's was made, by ``revision`` at ``at_ms`` or just after it.

    ``plan`` is what the tenant was found to have, ``rate`` that plan's; both are empty for an unknown tenant.
    """

    at_ms: float
    run: str
    revision: int
    tenant: str
    plan: str
    rate: float


class PublishAsked(msgspec.Struct, frozen=True, tag=True):
    """A publisher is about to send a change. ``marker`` names it: a service that only it adds."""

    at_ms: float
    marker: str
    delta: Delta


class PublishAnswered(msgspec.Struct, frozen=True, tag=True):
    """A publisher received an answer. ``kind`` is the name of the answer's type.

    ``revision`` and ``digest`` are those of a ``Published``; ``may_stand`` is that of an ``Unavailable``.
    """

    at_ms: float
    marker: str
    kind: str
    revision: int = 0
    digest: bytes = b""
    may_stand: bool = False


class RecordRead(msgspec.Struct, frozen=True, tag=True):
    """A control server gave a record out as one that stands."""

    at_ms: float
    server: str
    record: Record


class CutOff(msgspec.Struct, frozen=True):
    """A run that a status names as silent, with the revision that it is said to serve by, or a later one."""

    run: str
    at_least: int


class StatusTold(msgspec.Struct, frozen=True, tag=True):
    """An operator asked at ``asked_ms`` and was told at ``at_ms``: ``confirmed`` of ``known`` runs have it.

    ``region`` is empty for all regions together; ``everywhere`` says that it was told as done.
    """

    asked_ms: float
    at_ms: float
    revision: int
    region: str
    confirmed: int
    known: int
    everywhere: bool
    cut_off: tuple[CutOff, ...] = ()


class FaultBegan(msgspec.Struct, frozen=True, tag=True):
    """A fault is about to be made."""

    at_ms: float
    what: str


class FaultsOver(msgspec.Struct, frozen=True, tag=True):
    """The last fault has ended, and each process that was killed has been started again."""

    at_ms: float


class HistoryEnded(msgspec.Struct, frozen=True, tag=True):
    """The trial stops observing."""

    at_ms: float


Event: TypeAlias = (
    RunStarted
    | RunEnrolled
    | RunLeft
    | ProcessEnded
    | InForce
    | Served
    | PublishAsked
    | PublishAnswered
    | RecordRead
    | StatusTold
    | FaultBegan
    | FaultsOver
    | HistoryEnded
)
_encoder = msgspec.json.Encoder()
_decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)


class EventWriter:
    """A process's own file, one event a line. One call writes a line: a kill cuts the last at most."""

    def __init__(self, path: Path) -> None:
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, event: Event) -> None:
        """Add an event."""
        os.write(self._file, _encoder.encode(event) + b"\n")

    def close(self) -> None:
        """Close the file."""
        os.close(self._file)


def log_to(path: Path) -> None:
    """Have this process's standard error, and with it its log, in a file beside its history."""
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)
    os.dup2(descriptor, STDERR)
    os.close(descriptor)


def read_events(paths: Iterable[Path]) -> list[Event]:
    """All events of these files in the order of their times; a last line that was cut is left out."""
    events: list[Event] = []
    for path in paths:
        whole_lines = path.read_bytes().split(b"\n")[:-1]
        events += [_decoder.decode(line) for line in whole_lines]
    return sorted(events, key=lambda event: event.at_ms)

"""Histories: one JSON object a line, stamped by the system's monotonic clock, which all processes share.

Written by what acts and what is acted on. A line is written whole by one call, so a process that is killed or
stopped leaves at most one that is cut, at the end of its file.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec


def now_ms() -> float:
    """System-wide: comparable between processes of one machine."""
    return time.clock_gettime(time.CLOCK_MONOTONIC) * 1000.0


class Writer:
    """A process's own file."""

    def __init__(self, path: Path) -> None:
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, kind: str, at: float | None = None, **more: Any) -> None:
        """One event."""
        event = {"at": now_ms() if at is None else at, "kind": kind} | more
        os.write(self.file, msgspec.json.encode(event) + b"\n")

    def close(self) -> None:
        """No more of it."""
        os.close(self.file)


def read(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """All events of these files in the order of their stamps; a cut last line is left out."""
    events = []
    for path in paths:
        for line in path.read_bytes().split(b"\n")[:-1]:
            events.append(msgspec.json.decode(line, type=dict[str, Any]))
    return sorted(events, key=lambda event: event["at"])

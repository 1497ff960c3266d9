"""The figures as operators read them, out of the driver's tallies. Pure."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brackenloft.answers import Tally


@dataclass(frozen=True, slots=True)
class Standing:
    """What is true at one moment, beside the tallies."""

    tries: int  # attempts written whole to servers
    in_progress: int  # requests taken and not ended
    known: int  # servers in the list
    skipped: int  # of these, the ones that are avoided


def document(tallies: Mapping[str, Tally], now: Standing) -> dict[str, Any]:
    """All classes, also those of which nothing came yet."""
    return {
        "handled": {
            name: {"passed": tally.passed, "dropped": tally.dropped, "bad_gateway": tally.failed}
            for name, tally in tallies.items()
        },
        "upstream_tries": now.tries,
        "in_progress": now.in_progress,
        "known_servers": now.known,
        "skipped_servers": now.skipped,
    }

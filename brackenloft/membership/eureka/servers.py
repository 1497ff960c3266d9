"""Which rows of a registry are servers of ours, and what the gateway is told of them. Pure.

When a node's process started decides how much it is sent while it is cold. In this order:

1. ``metadata[started_key]``, which the node itself says;
2. the registry's time since when it is up, by our clock, but for nodes that were known in the aftermath of
   the registry's own restart (copy.py);
3. the time when it was seen to leave STARTING, or first seen after the first list, where that is later.

Nothing of the first list is cold but by 1 and 2. A time once reckoned stays, as long as the registry's stamps
do: a clock that is known better later makes no server restart. Harm: a process that restarts within a poll
under its old id, and says neither, is not seen to be cold.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from brackenloft.membership.eureka.copy import Moment, Record
from brackenloft.membership.eureka.rows import Row, RowError, ipv4
from brackenloft.membership.eureka.skew import Skew
from brackenloft.membership.model import Address, Instance

MOST_WEIGHT = 1000.0  # of a server beside the others
MOST_CELL = 1_000_000
PORTS = ("plain", "secure", "either")


@dataclass(frozen=True, slots=True)
class Choice:
    """Which instances are servers, and where in their metadata the rest is found.

    ``apps`` and ``vips``: the names that count, none for any. ``port``: the plain one, the secure one, or the
    plain one where it is enabled and else the secure one; the gateway's protocol is spoken on any of them.
    """

    apps: tuple[str, ...] = ()
    vips: tuple[str, ...] = ()
    port: str = "plain"
    zone: str = ""  # of a node that names none
    kind_key: str = "machineType"
    cell_key: str = "cell"
    weight_key: str = "weight"
    started_key: str = "startedAtMs"

    def __post_init__(self) -> None:
        if self.port not in PORTS:
            raise ValueError(f"Choice.port: {self.port!r} is none of {', '.join(PORTS)}")

    def names(self, row: Row) -> bool:
        """Whether it has one of the virtual addresses that count."""
        return not self.vips or not set(self.vips).isdisjoint((*row.vips, *row.secure_vips))

    def port_of(self, row: Row) -> int:
        """Its port; 0 if none of those that may be used is enabled."""
        ports = {"plain": row.port, "secure": row.secure_port, "either": row.port or row.secure_port}
        return ports[self.port]


class ServerReader:
    """Makes servers of rows. ``skew``: of the registry whose document is read."""

    def __init__(self, choice: Choice, skew: Skew) -> None:
        self.choice, self.skew = choice, skew
        self.apps = {name.upper() for name in choice.apps}

    def __call__(self, row: Row, before: Record | None, moment: Moment) -> Instance | None:
        """The server of this row, None if it is none of ours. Raises RowError."""
        choice = self.choice
        if self.apps and row.app not in self.apps or not choice.names(row):
            return None
        port = choice.port_of(row)
        if not port:
            raise RowError(f"no {choice.port} port is enabled")
        metadata, host = row.metadata, ipv4(row)
        return Instance(
            name=f"{row.app}/{row.instance}",
            host=host,
            port=port,
            zone=row.zone or choice.zone,
            kind=metadata.get(choice.kind_key, ""),
            cell=int(_figure(metadata, choice.cell_key, 0.0, MOST_CELL)),
            ready=row.in_service,
            size=_figure(metadata, choice.weight_key, 1.0, MOST_WEIGHT) or 1.0,
            started_ms=self._started(row, (host, port), before, moment),
            registered_ms=row.registered_ms or row.dirty_ms,
        )

    def _started(self, row: Row, address: Address, before: Record | None, moment: Moment) -> float:
        said = _figure(row.metadata, self.choice.started_key, 0.0, inf)
        if said:
            return min(said, moment.now)
        if before and before.status == "STARTING" and row.status != "STARTING":
            return moment.now
        known = before.instance if before else None
        up_since = self.skew.ours(row.up_since_ms, moment.now) if row.up_since_ms else 0.0
        if before and known and known.address == address:
            if moment.aftermath or row.up_since_ms == before.up_since_ms:
                return known.started_ms
            return max(up_since, known.started_ms)
        return up_since or (0.0 if moment.first else moment.now)


def _figure(metadata: object, key: str, otherwise: float, most: float) -> float:
    """A number from 0 to ``most`` of a node's own metadata; raises RowError for another."""
    text = metadata.get(key) if isinstance(metadata, dict) else None
    if text is None or text == "":
        return otherwise
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0.0 <= number <= most:
        raise RowError(f"metadata {key}: {text!r:.60}")
    return number

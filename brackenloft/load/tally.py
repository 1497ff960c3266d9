"""What came of a load: counts by second and class, times in HdrHistograms, and whether the tool kept up.

Each request that was due ends in one of ``ENDS``. Times count from when it was due, so that a request that
waited for its turn, in the tool or anywhere, shows it. Pure but for the histograms' package.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

ENDS = ("served", "refused", "failed", "missing", "broken", "not_sent")
LATE_S = 0.010  # sent so long after it was due, a request is late: the tool's doing, not the gateway's
MOST_LATE = 0.01  # of the requests: beyond it the times say more about the tool than about what it measures
LEAST_US, MOST_US, DIGITS = 1, 600_000_000, 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def histogram() -> HdrHistogram:
    """Microseconds, from one to ten minutes, to three digits."""
    return HdrHistogram(LEAST_US, MOST_US, DIGITS)


def _us(seconds: float) -> int:
    return min(MOST_US, max(LEAST_US, round(seconds * 1e6)))


@dataclass(slots=True)
class Tally:
    """Of one process, or of all."""

    seconds: dict[int, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    classes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    times: dict[str, HdrHistogram] = field(default_factory=dict)  # from due, of what was served, by class
    service: HdrHistogram = field(default_factory=histogram)  # from sent, of the same
    delay: HdrHistogram = field(default_factory=histogram)  # from due to sent, of all that were sent
    most_waiting: int = 0  # requests that were due and had no connection
    connects: int = 0

    def due(self, at: float, kind: str) -> None:
        """A request's time has come; ``at``: seconds from the start."""
        self.seconds[int(at)]["due"] += 1
        self.classes[kind]["due"] += 1

    def sent(self, at: float, now: float, kind: str) -> None:
        """It is on its way."""
        late = now - at > LATE_S
        for counts in (self.seconds[int(at)], self.classes[kind]):
            counts["sent"] += 1
            counts["late"] += late
        self.delay.record_value(_us(now - at))

    def ended(self, at: float, sent: float, now: float, kind: str, end: str) -> None:
        """It has come to one of ``ENDS``."""
        self.seconds[int(at)][end] += 1
        self.classes[kind][end] += 1
        if end == "served":
            self.times.setdefault(kind, histogram()).record_value(_us(now - at))
            self.service.record_value(_us(now - sent))

    def total(self) -> Counter[str]:
        """Over all classes."""
        found: Counter[str] = Counter()
        for counts in self.classes.values():
            found.update(counts)
        return found

    def all_times(self) -> HdrHistogram:
        """Over all classes."""
        whole = histogram()
        for one in self.times.values():
            whole.add(one)
        return whole

    def add(self, other: Tally) -> None:
        """Take in what another process has seen."""
        for second, counts in other.seconds.items():
            self.seconds[second].update(counts)
        for kind, counts in other.classes.items():
            self.classes[kind].update(counts)
        for kind, times in other.times.items():
            self.times.setdefault(kind, histogram()).add(times)
        self.service.add(other.service)
        self.delay.add(other.delay)
        self.most_waiting = max(self.most_waiting, other.most_waiting)
        self.connects += other.connects

    # ---- From one process to another

    def packed(self) -> dict[str, Any]:
        """As plain data."""
        return {
            "seconds": {second: dict(counts) for second, counts in self.seconds.items()},
            "classes": {kind: dict(counts) for kind, counts in self.classes.items()},
            "times": {kind: times.encode() for kind, times in self.times.items()},
            "service": self.service.encode(),
            "delay": self.delay.encode(),
            "most_waiting": self.most_waiting,
            "connects": self.connects,
        }


def unpacked(data: dict[str, Any]) -> Tally:
    """The reverse of ``packed``."""
    tally = Tally(
        service=HdrHistogram.decode(data["service"]),
        delay=HdrHistogram.decode(data["delay"]),
        most_waiting=data["most_waiting"],
        connects=data["connects"],
    )
    for second, counts in data["seconds"].items():
        tally.seconds[int(second)].update(counts)
    for kind, counts in data["classes"].items():
        tally.classes[kind].update(counts)
    tally.times = {kind: HdrHistogram.decode(times) for kind, times in data["times"].items()}
    return tally


# ---- What is told


def percentiles(times: HdrHistogram) -> dict[str, float]:
    """In milliseconds; empty where nothing was recorded."""
    if not times.get_total_count():
        return {}
    found = {f"p{percent:g}_ms": times.get_value_at_percentile(percent) / 1000.0 for percent in PERCENTILES}
    return {**found, "max_ms": times.get_max_value() / 1000.0}


def unaccounted(tally: Tally) -> int:
    """Requests that were due and have no end: 0, or the tool itself is wrong."""
    counts = tally.total()
    return counts["due"] - sum(counts[end] for end in ENDS)


def late_share(tally: Tally) -> float:
    """Of the requests due, those that were sent late or never."""
    counts = tally.total()
    return (counts["late"] + counts["not_sent"]) / (counts["due"] or 1)


def fell_behind(tally: Tally, expected: float) -> str:
    """Why the tool's times are not to be believed, in one line; empty if they are."""
    share = late_share(tally)
    if share <= MOST_LATE:
        return ""
    counts = tally.total()
    waited = f", {tally.most_waiting} waited for a connection at once" if tally.most_waiting else ""
    return (
        f"{100.0 * share:.1f}% of {counts['due']} requests were sent more than {LATE_S * 1000.0:.0f} ms "
        f"late or not at all{waited}: more processes or connections, or a lower rate"
    )


def rows(tally: Tally) -> list[dict[str, Any]]:
    """A line for each second."""
    return [
        {"second": second, **{name: counts[name] for name in ("due", "sent", "late", *ENDS)}}
        for second, counts in sorted(tally.seconds.items())
    ]


def summary(tally: Tally, seconds: float, processes: int) -> dict[str, Any]:
    """The last line."""
    counts = tally.total()
    behind = fell_behind(tally, counts["due"])
    return {
        "due": counts["due"],
        "sent": counts["sent"],
        **{end: counts[end] for end in ENDS},
        "rate": round(counts["due"] / seconds, 2),
        "processes": processes,
        "connects": tally.connects,
        "late_share": round(late_share(tally), 6),
        "fell_behind": bool(behind),
        "why": behind,
        **percentiles(tally.all_times()),
        "service": percentiles(tally.service),
        "delay": percentiles(tally.delay),
        "classes": {
            kind: {**dict(counts), **percentiles(tally.times.get(kind, histogram()))}
            for kind, counts in sorted(tally.classes.items())
        },
    }

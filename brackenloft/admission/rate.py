"""A least rate for a transfer: large ones live while they move, trickles die. Pure; times in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Least:
    """``rate`` bytes a second after ``grace_s``; what moves faster saves up time, ``span_s`` at most."""

    rate: float
    grace_s: float
    span_s: float

    def __post_init__(self) -> None:
        if not (self.rate > 0.0 and self.grace_s >= 0.0 and self.span_s > 0.0):
            raise ValueError(f"no least rate: {self!r}")


class Pace:
    """One transfer in one direction. Every byte buys time at the least rate; with none left it is too slow.

    Bursts live on what they save up, for ``span_s`` at most: guards against one large burst that buys a
    trickle of hours. Time in which we did not read or write ourselves is given back.
    """

    __slots__ = ("least", "until", "paused")

    def __init__(self, least: Least, now: float) -> None:
        self.least, self.until = least, now + least.grace_s
        self.paused: float | None = None

    def moved(self, size: int, now: float) -> None:
        """So many bytes have come or gone."""
        most = max(self.until, now + self.least.span_s)
        self.until = min(self.until + size / self.least.rate, most)

    def pause(self, now: float) -> None:
        """From now on it is we who wait."""
        if self.paused is None:
            self.paused = now

    def resume(self, now: float) -> None:
        """The peer's time runs again."""
        if self.paused is not None:
            self.until += max(0.0, now - self.paused)
            self.paused = None

    def excuse(self, seconds: float) -> None:
        """Time in which nothing could be read or written here, say as the loop was held up."""
        if self.paused is None:
            self.until += seconds

    def too_slow(self, now: float) -> bool:
        """Whether its time is up."""
        return self.paused is None and now > self.until

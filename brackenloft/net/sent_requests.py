"""Ids of requests that were sent on and may have run, for a while. Pure; times in milliseconds of one clock.

Guards against a request that runs twice because it comes again: after its client has left, or at the other
process of an upgrade. Bounded in time and in number, the oldest goes first.
"""

from __future__ import annotations

from collections import OrderedDict

REMEMBERED_MS = 60_000.0  # longer than any client waits
MOST_REMEMBERED = 10_000  # two megabytes


class SentRequests:
    """The ids, the oldest first."""

    def __init__(self) -> None:
        self.sent_at: OrderedDict[str, float] = OrderedDict()
        self.elsewhere: set[str] = set()  # of these, those that another process of this gateway has sent on

    def note(self, request_id: str, now: float, elsewhere: bool = False) -> None:
        """It is sent on, here or by another process of this gateway."""
        self.sent_at[request_id] = now
        if elsewhere:
            self.elsewhere.add(request_id)
        while self.sent_at and (len(self.sent_at) > MOST_REMEMBERED or self._oldest() < now - REMEMBERED_MS):
            self.elsewhere.discard(self.sent_at.popitem(last=False)[0])

    def _oldest(self) -> float:
        return next(iter(self.sent_at.values()))

    def forget(self, request_id: str) -> None:
        """It has not run here, for sure."""
        if request_id not in self.elsewhere:
            self.sent_at.pop(request_id, None)

    def may_have_run(self, request_id: str, now: float) -> bool:
        """Whether it was sent on, here or at another process of this gateway."""
        sent_at = self.sent_at.get(request_id)
        return sent_at is not None and now - sent_at < REMEMBERED_MS

    def ages(self, now: float) -> list[tuple[str, float]]:
        """The ids that are remembered and how long ago they were sent on."""
        aged = ((request_id, max(0.0, now - sent_at)) for request_id, sent_at in self.sent_at.items())
        return [(request_id, age) for request_id, age in aged if age < REMEMBERED_MS]

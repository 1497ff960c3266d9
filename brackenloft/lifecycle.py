"""What a gateway's process is at, and what follows from that: one table, pure, no clock.

  STARTING   nobody knows yet whom to send to
  HELD_BACK  the same, and a drain was asked for: it drains as soon as it could serve
  READY      it serves
  DRAINING   it serves what still comes, says no, and gets rid of its connections
  HANDING    a successor accepts in its place; what it has taken it finishes
  HANDING_EMPTY  the same, out of a drain: if the successor dies it goes on draining
  LEAVING    it was told to end: it finishes what it has taken
  LEAVING_HANDED  the same, and a successor accepts in its place
  GONE       nothing is owed any more

``PING``, ``/-/ready``, accepting and closing read FACTS; calls, signals, discovery and the handover are
events. FOLLOWS has every event in every state: the next state, or None where it is out of place and refused.
An event that leads to the state it came in is harmless and changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

# From a first no until no new connection comes: it is asked for every 0.1 s, and they come for another 0.2 s;
# the rest is for a busy loop.
FRONT_SEES_S = 0.4


class State(StrEnum):
    """Where the process stands."""

    STARTING = "starting"
    HELD_BACK = "held back"
    READY = "ready"
    DRAINING = "draining"
    HANDING = "handing over"
    HANDING_EMPTY = "handing over, drained"
    LEAVING = "leaving"
    LEAVING_HANDED = "leaving, handed over"
    GONE = "gone"


class Event(StrEnum):
    """What happens to it."""

    LISTED = "listed"  # it is known whom to send to
    DRAIN = "drain"
    RESUME = "resume"
    HAND = "hand over"  # a successor is ready to accept
    KEEP = "keep"  # the successor went away before it said so
    LEAVE = "leave"  # SIGTERM, or the host closes it
    ENDED = "ended"  # all that was taken is answered, or the time is up


@dataclass(frozen=True, slots=True)
class Facts:
    """What is true in a state. ``empties_after_s``: when kept connections are closed; None: they are kept."""

    pong: bool
    ready: bool
    accepts: bool
    empties_after_s: float | None = None


FACTS: dict[State, Facts] = {
    State.STARTING: Facts(pong=False, ready=False, accepts=True),
    State.HELD_BACK: Facts(pong=False, ready=False, accepts=True),
    State.READY: Facts(pong=True, ready=True, accepts=True),
    State.DRAINING: Facts(pong=False, ready=False, accepts=True, empties_after_s=FRONT_SEES_S),
    # The gateway is ready, though not this process of it: a no would tell the front to send nobody.
    State.HANDING: Facts(pong=True, ready=False, accepts=False, empties_after_s=0.0),
    State.HANDING_EMPTY: Facts(pong=False, ready=False, accepts=False, empties_after_s=0.0),
    State.LEAVING: Facts(pong=True, ready=False, accepts=True),  # its host says when to empty
    State.LEAVING_HANDED: Facts(pong=True, ready=False, accepts=False, empties_after_s=0.0),
    State.GONE: Facts(pong=False, ready=False, accepts=False, empties_after_s=0.0),
}

_S, _E = State, Event
FOLLOWS: dict[State, dict[Event, State | None]] = {
    _S.STARTING: {
        _E.LISTED: _S.READY,
        _E.DRAIN: _S.HELD_BACK,
        _E.RESUME: _S.STARTING,
        _E.HAND: None,
        _E.KEEP: _S.STARTING,
        _E.LEAVE: _S.LEAVING,
        _E.ENDED: _S.GONE,
    },
    _S.HELD_BACK: {
        _E.LISTED: _S.DRAINING,
        _E.DRAIN: _S.HELD_BACK,
        _E.RESUME: _S.STARTING,
        _E.HAND: None,
        _E.KEEP: _S.HELD_BACK,
        _E.LEAVE: _S.LEAVING,
        _E.ENDED: _S.GONE,
    },
    _S.READY: {
        _E.LISTED: _S.READY,
        _E.DRAIN: _S.DRAINING,
        _E.RESUME: _S.READY,
        _E.HAND: _S.HANDING,
        _E.KEEP: _S.READY,
        _E.LEAVE: _S.LEAVING,
        _E.ENDED: _S.GONE,
    },
    _S.DRAINING: {
        _E.LISTED: _S.DRAINING,
        _E.DRAIN: _S.DRAINING,
        _E.RESUME: _S.READY,
        _E.HAND: _S.HANDING_EMPTY,
        _E.KEEP: _S.DRAINING,
        _E.LEAVE: _S.LEAVING,
        _E.ENDED: _S.GONE,
    },
    _S.HANDING: {
        _E.LISTED: _S.HANDING,
        _E.DRAIN: None,
        _E.RESUME: None,
        _E.HAND: None,
        _E.KEEP: _S.READY,
        _E.LEAVE: _S.LEAVING_HANDED,
        _E.ENDED: _S.GONE,
    },
    _S.HANDING_EMPTY: {
        _E.LISTED: _S.HANDING_EMPTY,
        _E.DRAIN: None,
        _E.RESUME: None,
        _E.HAND: None,
        _E.KEEP: _S.DRAINING,
        _E.LEAVE: _S.LEAVING_HANDED,
        _E.ENDED: _S.GONE,
    },
    _S.LEAVING: {
        _E.LISTED: _S.LEAVING,
        _E.DRAIN: _S.LEAVING,
        _E.RESUME: None,
        _E.HAND: None,
        _E.KEEP: _S.LEAVING,
        _E.LEAVE: _S.LEAVING,
        _E.ENDED: _S.GONE,
    },
    _S.LEAVING_HANDED: {
        _E.LISTED: _S.LEAVING_HANDED,
        _E.DRAIN: _S.LEAVING_HANDED,
        _E.RESUME: None,
        _E.HAND: None,
        _E.KEEP: _S.LEAVING_HANDED,
        _E.LEAVE: _S.LEAVING_HANDED,
        _E.ENDED: _S.GONE,
    },
    _S.GONE: {
        _E.LISTED: _S.GONE,
        _E.DRAIN: None,
        _E.RESUME: None,
        _E.HAND: None,
        _E.KEEP: _S.GONE,
        _E.LEAVE: _S.GONE,
        _E.ENDED: _S.GONE,
    },
}


class Lifecycle:
    """One process's state. ``changed`` is called after each change, not for an event that changes nothing."""

    def __init__(self, changed: Callable[[State, State], None] = lambda before, after: None) -> None:
        self.state, self.changed = State.STARTING, changed

    @property
    def facts(self) -> Facts:
        """What is true now."""
        return FACTS[self.state]

    def happens(self, event: Event) -> bool:
        """Take an event; False if it is out of place, and nothing has changed."""
        after = FOLLOWS[self.state][event]
        if after is None:
            return False
        before, self.state = self.state, after
        if before is not after:
            self.changed(before, after)
        return True

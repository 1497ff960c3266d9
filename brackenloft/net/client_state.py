"""The life of a client's connection: its states, and which event leads where, as two tables. Pure, no clock.

  OPEN             commands are read and answered
  ENDING           no more commands are read; our side ends behind the last reply
  LINGERING        our side has ended between two requests; the peer's end is waited for, for LINGER_S at most
  LINGERING_ENDED  the same, after ENDING
  CLOSED           the transport has gone

Every event is in every state: FOLLOWS has the next one. An event that leads to the state it came in changes
nothing. FACTS says what is true in a state; whether a connection is full, stuck or paused is not part of its
life and stands beside it. ``parting``, a wish to end between two requests, is no state: it is dropped with
the connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ConnectionState(Enum):
    """Where a connection stands."""

    OPEN = "open"
    ENDING = "ending"
    LINGERING = "lingering"
    LINGERING_ENDED = "lingering, ended"
    CLOSED = "closed"


class ConnectionEvent(Enum):
    """What happens to it."""

    END = "end"  # it can't be read, has asked for nothing in time, has gone, or makes room
    HALF_CLOSE = "half-close"  # all replies have gone to the kernel, and our side is ended
    LOST = "lost"  # both sides have ended, or the transport was aborted


@dataclass(frozen=True, slots=True)
class ConnectionFacts:
    """What is true in a state."""

    ending: bool  # no more commands are taken; it ends as soon as nothing is owed on it
    half_closed: bool  # by us: nothing may be written any more


FACTS: dict[ConnectionState, ConnectionFacts] = {
    ConnectionState.OPEN: ConnectionFacts(ending=False, half_closed=False),
    ConnectionState.ENDING: ConnectionFacts(ending=True, half_closed=False),
    ConnectionState.LINGERING: ConnectionFacts(ending=False, half_closed=True),
    ConnectionState.LINGERING_ENDED: ConnectionFacts(ending=True, half_closed=True),
    ConnectionState.CLOSED: ConnectionFacts(ending=True, half_closed=True),
}

_S, _E = ConnectionState, ConnectionEvent
FOLLOWS: dict[ConnectionState, dict[ConnectionEvent, ConnectionState]] = {
    _S.OPEN: {_E.END: _S.ENDING, _E.HALF_CLOSE: _S.LINGERING, _E.LOST: _S.CLOSED},
    _S.ENDING: {_E.END: _S.ENDING, _E.HALF_CLOSE: _S.LINGERING_ENDED, _E.LOST: _S.CLOSED},
    _S.LINGERING: {_E.END: _S.LINGERING_ENDED, _E.HALF_CLOSE: _S.LINGERING, _E.LOST: _S.CLOSED},
    _S.LINGERING_ENDED: {
        _E.END: _S.LINGERING_ENDED,
        _E.HALF_CLOSE: _S.LINGERING_ENDED,
        _E.LOST: _S.CLOSED,
    },
    _S.CLOSED: {_E.END: _S.CLOSED, _E.HALF_CLOSE: _S.CLOSED, _E.LOST: _S.CLOSED},
}

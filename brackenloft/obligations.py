"""What is owed to clients: whether a connection may be closed and an attempt sent now.

A command of which anything was read is owed one reply: its rest may lie in the kernel, written whole by its
client. A reply is owed until the peer's machine has acknowledged it. What was never read is not owed: the
client sends it again on another connection. A close may therefore leave bytes in the kernel, but nobody may
read them only to throw them away. An attempt is sent only while its
client waits for it, and is told no longer a deadline than the client has left. Callers ask here first;
``Obligations`` checks what they do all the same, and counts each violation.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from math import inf

log = logging.getLogger(__name__)

LEAST_TOLD_MS = 1.0  # a deadline of nothing is of another form
# A peer that takes less than this over at least so long may be given up, whatever is owed to it.
STATED_S, STATED_RATE = 15.0, 4 * 1024  # seconds, bytes a second
STATED_IDLE_S = 3.0  # at least, of a peer that takes nothing at all while others wait for room
WINDOW_STEP = 1.5  # of what filled a peer's receive buffer, read before its machine tells of room again
STATED_SLACK_S = 1.0  # between two samples of what a peer has acknowledged
MOST_NAMED = 16  # requests that a line of the log names
CAME_SLACK_S = 0.02  # of the kernel's figure of when the last byte came, which moves in steps of up to 10 ms
TOLD_SLACK_MS = 150.0  # by which the deadline that a server is told may exceed what the client has left


class CloseReason(StrEnum):
    """Why a client's connection was closed."""

    DONE = "nothing is owed"
    ROOM = "room is made"
    PEER_LEFT = "the peer has left"
    PEER_LEFT_QUEUE = "the peer has left before it was read"
    PEER_RESET = "the peer's machine has reset it"
    TAKES_TOO_LITTLE = "the peer takes too little"
    TAKES_NOTHING = "the peer takes nothing while others wait for room"
    PROCESS_ENDS = "the process ends"
    NOT_ADMITTED = "the loop did not take it"
    TRANSPORT_FAILED = "the transport has failed"


class HalfCloseReason(StrEnum):
    """Why our side of a client's connection was ended while the peer's was still open."""

    TURNED_AWAY = "no more commands are taken on it"
    PLACES_SHORT = "its first request was turned away while places are short"
    PROCESS_EMPTIES = "the process empties"
    PROCESS_ENDS = "the process ends"


class Breach(StrEnum):
    """An obligation that was not kept."""

    CLOSED_UNANSWERED = "closed with commands unanswered"
    CLOSED_UNDELIVERED = "closed with replies not delivered"
    ENDED_OVER_COMMAND = "ended over a command that had come before"
    READ_TOO_LATE = "read on a connection that can't be answered"
    SENT_UNWANTED = "sent for a client that does not wait"
    SENT_LATE = "sent after its time"


UNASKED = (CloseReason.NOT_ADMITTED, CloseReason.TRANSPORT_FAILED)  # ends that nobody has decided on
UNRATIONED = {"unrationed": True}  # of a line of the log: it is written however many others there are


@dataclass(frozen=True, slots=True)
class Dues:
    """What is owed on one connection."""

    unanswered: int = 0  # commands read whole, without a reply
    unparsed: bool = False  # bytes were read that may hold whole commands
    undelivered: int = 0  # bytes of replies not yet acknowledged by the peer's machine
    partial: bool = False  # a part of a command was read, whose rest may have come

    def unheard(self) -> bool:
        """Whether a command may have been read and has no reply."""
        return self.unanswered > 0 or self.unparsed or self.partial


READS_NO_MORE = (
    HalfCloseReason.TURNED_AWAY,
    HalfCloseReason.PROCESS_ENDS,
)  # bytes may come before
PEER_ENDS = (CloseReason.PEER_LEFT, CloseReason.PEER_RESET)


@dataclass(frozen=True, slots=True)
class HalfClose:
    """Our half-close of a connection, told at its end."""

    reason: HalfCloseReason
    since_s: float  # from the half-close to the end
    came_s: float  # from the peer's last byte to the end, by the kernel

    def over_command(self) -> bool:
        """Whether the last byte had come before the half-close, on a connection that was still read."""
        return self.reason not in READS_NO_MORE and self.came_s > self.since_s + CAME_SLACK_S


@dataclass(frozen=True, slots=True)
class PeerFacts:
    """What the kernel tells of the peer of a connection that is closed."""

    left: bool = False  # it has closed its end, or its machine has reset the connection
    acknowledged: int = 0  # bytes, over the last ``over_s``
    over_s: float = 0.0
    idle_s: float = 0.0  # since it last acknowledged anything, as far as that was looked at
    taken: int = 0  # bytes that it has acknowledged in all

    def bear_out(self, reason: CloseReason) -> bool:
        """Whether the peer is the reason."""
        if reason in PEER_ENDS:
            return self.left
        if reason is CloseReason.TAKES_TOO_LITTLE:
            stated = self.over_s >= STATED_S - STATED_SLACK_S
            return stated and self.acknowledged < STATED_RATE * self.over_s
        if reason is CloseReason.TAKES_NOTHING:
            return self.idle_s >= longest_silence_s(self.taken) - STATED_SLACK_S
        return False


def longest_silence_s(taken: int) -> float:
    """For how long a peer's machine may acknowledge nothing while its process reads at the least rate.

    ``taken``: bytes that it has acknowledged in all, no less than what has filled its receive buffer. However
    steadily the process reads, a window that has closed opens again only when a good part of that buffer is
    free (RFC 9293, 3.8.6.2.2); on Linux that may be all of it and what it has grown by.
    """
    return min(STATED_S, max(STATED_IDLE_S, taken * WINDOW_STEP / STATED_RATE))


def may_close(dues: Dues) -> bool:
    """Whether a connection may be closed by our own choice."""
    return not dues.unheard() and not dues.undelivered


def told_ms(left_ms: float) -> float:
    """The deadline that a server is told, by what the client has left."""
    return max(LEAST_TOLD_MS, left_ms)


class Withheld(StrEnum):
    """Why an attempt is not written."""

    UNWANTED = "nobody waits for it"
    UNSURE = "its client may have left"
    NO_TIME = "no time is left"
    KEY_FORGOTTEN = "servers may have forgotten its key"
    SENT_ELSEWHERE = "another process has sent it"


@dataclass(frozen=True, slots=True)
class SendFacts:
    """What is true of an attempt at the moment in which it would be written."""

    wanted: bool = True  # somebody waits for it
    unsure: bool = False  # its client may have left, and the kernel can't tell
    left_ms: float = inf  # of its client's time, and the attempt's
    window_ms: float = inf  # for which servers still drop a repeat
    elsewhere: bool = False  # another process of this gateway has sent it


def why_withheld(facts: SendFacts) -> Withheld | None:
    """Why an attempt may not be written now; None: it may."""
    if not facts.wanted:
        return Withheld.UNWANTED
    if facts.left_ms <= 0.0:
        return Withheld.NO_TIME
    if facts.window_ms <= 0.0:
        return Withheld.KEY_FORGOTTEN
    if facts.elsewhere:
        return Withheld.SENT_ELSEWHERE
    return Withheld.UNSURE if facts.unsure else None


class Obligations:
    """Counts why connections were closed, and what was done against the rules."""

    def __init__(self) -> None:
        self.closed: Counter[str] = Counter()
        self.closed_unread: Counter[str] = Counter()
        self.half_closed: Counter[str] = Counter()
        self.crossed: Counter[str] = Counter()  # half-closes that bytes of the peer crossed
        self.breaches: Counter[str] = Counter()
        self.withheld: Counter[str] = Counter()
        self.lost = 0  # requests whose clients took too little of their answers

    def half_closes(self, reason: HalfCloseReason) -> None:
        """Our side of a client's connection has been ended."""
        self.half_closed[reason.value] += 1

    def closes(
        self,
        name: str,
        dues: Dues,
        reason: CloseReason,
        unread: bool = False,
        peer: PeerFacts = PeerFacts(),  # noqa: B008
        requests: Sequence[str] = (),
        half_close: HalfClose | None = None,
        error: BaseException | None = None,
    ) -> None:
        """A client's connection ends, whoever ends it; told once of each that was accepted.

        ``unread``: over bytes that nobody read, which are sent again. ``peer``: by the kernel, which has to
        bear out a reason of the peer's own. ``requests``: those that have had no whole answer.
        ``half_close``: ours, if there was one before. ``error``: what the transport or the loop reported.
        """
        self.closed[reason.value] += 1
        if unread:
            self._ends_unread(name, dues, reason, half_close)
        if error is not None or reason in UNASKED:
            log.warning("%s has ended: %s, %s, %r", name, reason.value, dues, error)
        if not dues.unheard() and not dues.undelivered:
            log.debug("%s has ended: %s", name, reason.value)
            return
        named = " ".join(requests[:MOST_NAMED])
        detail = f"{name}: {reason.value}, {dues}, {peer}, {len(requests)} requests: {named}"
        if not peer.bear_out(reason):
            self.breach(Breach.CLOSED_UNANSWERED if dues.unheard() else Breach.CLOSED_UNDELIVERED, detail)
        elif peer.left:
            log.info("requests withdrawn: %s", detail)
        else:
            self.lost += len(requests)
            log.warning("requests lost: %s", detail, extra=UNRATIONED)

    def _ends_unread(self, name: str, dues: Dues, reason: CloseReason, half_close: HalfClose | None) -> None:
        self.closed_unread[reason.value] += 1
        if half_close and half_close.over_command():
            self.breach(Breach.ENDED_OVER_COMMAND, f"{name}: {reason.value}, {half_close}")
            return
        if half_close:
            self.crossed[half_close.reason.value] += 1
        detail = half_close or dues
        log.info("%s is closed over bytes that were not read: %s, %s", name, reason.value, detail)

    def withholds(self, name: str, why: Withheld) -> None:
        """An attempt is not written."""
        self.withheld[why.value] += 1
        log.info("an attempt of %s is withheld: %s", name, why.value)

    def sends(self, name: str, wanted: bool, left_ms: float) -> None:
        """An attempt is written."""
        if not wanted:
            self.breach(Breach.SENT_UNWANTED, name)
        elif left_ms < -TOLD_SLACK_MS:
            self.breach(Breach.SENT_LATE, f"{name}: {-left_ms:.0f} ms")

    def breach(self, breach: Breach, detail: str) -> None:
        """Count a violation, and tell the people on call."""
        self.breaches[breach.value] += 1
        log.error("obligation not kept: %s (%s)", breach.value, detail, extra=UNRATIONED)

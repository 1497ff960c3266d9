"""The end of a client's connection: nothing that was read whole goes unanswered, and no reply is reset away.

Our side ends behind the last reply. What the peer sends from then on stays in the kernel, unread, and is the
peer's to send again. A close over unread bytes sends a reset, which takes along what the peer's machine has
not acknowledged, so that it waits until all is.
"""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

from brackenloft.net.client_owner import ClientOwner
from brackenloft.net.client_state import ConnectionEvent, ConnectionState
from brackenloft.net.close_audit import PeerHistory
from brackenloft.net.kernel import age_s, end_unless_unread, shut_down, unacknowledged, unread
from brackenloft.net.replies import STALLED_S, Replies
from brackenloft.net.resp import Commands
from brackenloft.obligations import CloseReason, Dues, HalfClose, HalfCloseReason, may_close

LINGER_S = 0.3  # from our half-close to the peer's, before the connection is closed all the same
LINGER_LOOK_S = 0.05  # between two looks at a connection that lingers
SHORT_LOOK_S = 0.01  # the same, while others wait for its place
FRESH_S = 0.25  # who has said nothing is let be so long, or would come back at once, again and again
# After an answer, before its connection is ended between requests: who asks again at once has done so. A
# request that crosses the end would be turned back.
QUIET_S = 0.02


class Closing(Replies):
    """The half of a client's connection that ends it."""

    clients: ClientOwner[Any]
    reader: Commands
    spoke: bool  # a whole command has come
    within: bool  # a part of a command has come, and may be dropped
    parting: bool  # to be ended as soon as it rests, while places are short
    timer: asyncio.TimerHandle | None  # while it lingers
    peer_history: PeerHistory
    peer_name: str  # for the log: its address
    end_noted = False  # the audit has been told of the end
    half_close_reason = HalfCloseReason.TURNED_AWAY
    half_closed_at = 0.0  # by time.monotonic()

    @property
    def unparsed(self) -> bool:
        """Whether bytes were read that may hold whole commands."""
        return self.waits_turn or (self.reader.left > 0 and not self.within)

    def dues(self) -> Dues:
        """What is owed on it."""
        return Dues(len(self.slots), self.unparsed, self.undelivered(), self._has_partial())

    def _has_partial(self) -> bool:
        """Whether a part of a command was read, whose rest is still taken."""
        return self.reader.left > 0 and not self.ending

    def _leave_if_done(self) -> None:
        """Close between requests, when it is time to, and behind the last reply of one that ends."""
        if not self.transport or self.slots or self.unparsed or self.stuck or self.transport.is_closing():
            return
        if self.half_closed or not (self.ending or self._may_go()):
            return
        if not self._has_partial():
            self._half_close()
        elif self.clients.closing or not unread(self.socket):  # else that is read first
            self.refuse_partial("the process ends")

    def refuse_partial(self, why: str) -> None:
        """Refuse a command that was never read whole, and end the connection."""
        raise NotImplementedError

    def _may_go(self) -> bool:
        """Whether it may be closed between requests: for want of places, or as the process empties.

        Guards against turning back a command that crosses the close: who is within one, or has just come, is
        waited for, but not without end.
        """
        if self.clients.closing:
            return True
        if not self.parting and not self.clients.emptying:
            return False
        if self.clients.finishing():
            return True
        rested_s = self.clients.loop.time() - self.clients.roll.since(self)
        quiet = rested_s >= (QUIET_S if self.spoke else FRESH_S)
        return quiet and not self.reader.left

    def _half_close(self) -> None:
        """A lingering close: end our side behind the last reply, then wait for the peer's end."""
        assert self.transport
        if self.transport.get_write_buffer_size():
            self.transport.set_write_buffer_limits(0)  # it tells when the last byte has gone to the kernel
            return
        if self.ending or self.clients.closing:
            shut_down(self.socket, socket.SHUT_WR)
        elif not end_unless_unread(self.socket, socket.SHUT_WR):
            return  # that is read first
        self._happens(ConnectionEvent.HALF_CLOSE)
        now = self.half_closed_at = time.monotonic()
        self.half_close_reason = self._why_half_closed()
        self.clients.obligations.half_closes(self.half_close_reason)
        self.throttle()
        self._linger(now, now, unacknowledged(self.socket))

    def _linger(self, since: float, moved_at: float, undelivered: int) -> None:
        """Close when the peer has had its time to end, and its machine has all that was written.

        While places are short it has no time beyond that: a reset takes nothing along that its machine has.
        """
        if self.transport is None or self.transport.is_closing():
            return
        now, left = time.monotonic(), unacknowledged(self.socket)
        self.peer_history.sample()
        if left != undelivered:
            moved_at = now
        # Guards against a crowd that waits in the kernel, while those who were turned away keep their places.
        short = self.clients.short()
        lingers_s = 0.0 if short else LINGER_S
        if now - since >= lingers_s and (not left or now - moved_at >= STALLED_S):
            self.close(CloseReason.TAKES_TOO_LITTLE if left else CloseReason.DONE)
            return
        look_s = SHORT_LOOK_S if short and left else LINGER_LOOK_S
        self.timer = self.clients.loop.call_later(look_s, self._linger, since, moved_at, left)

    def _why_half_closed(self) -> HalfCloseReason:
        if self.state is ConnectionState.LINGERING_ENDED:
            return HalfCloseReason.TURNED_AWAY
        if self.clients.closing:
            return HalfCloseReason.PROCESS_ENDS
        return HalfCloseReason.PLACES_SHORT if self.parting else HalfCloseReason.PROCESS_EMPTIES

    def close(self, reason: CloseReason, dues: Dues | None = None) -> None:
        """End the connection now, whatever is still to be written on it; ``dues``: before our own end."""
        if self.transport is None or self.transport.is_closing():
            return
        self._note_end(reason, dues=dues)
        if not self.half_closed:
            self._happens(ConnectionEvent.END)
        self.transport.abort()

    def _note_end(
        self, reason: CloseReason, error: Exception | None = None, dues: Dues | None = None
    ) -> None:
        """Tell the audit how the connection ends; the first reason counts."""
        if self.end_noted:
            return
        self.end_noted = True
        requests = [slot.request_id for slot in self.slots if slot.request_id]
        half_close = None
        if self.half_closed_at:
            since_s = time.monotonic() - self.half_closed_at
            half_close = HalfClose(self.half_close_reason, since_s, age_s(self.socket))
        self.clients.obligations.closes(
            self.peer_name,
            dues or self.dues(),
            reason,
            unread(self.socket),
            self.peer_history.facts(),
            requests,
            half_close,
            error,
        )

    def _note_unasked_end(self, error: Exception | None) -> None:
        """The transport ended by itself: the peer has closed or reset it, or nobody knows why."""
        if self.end_noted:
            return
        if not self.peer_history.facts().left:
            reason = CloseReason.TRANSPORT_FAILED
        else:
            reason = CloseReason.PEER_LEFT if error is None else CloseReason.PEER_RESET
        self._note_end(reason, error if reason is CloseReason.TRANSPORT_FAILED else None)

    def drop(self) -> bool:
        """Close it to make room, unless something is owed or a command has come that was not read yet."""
        if self.transport is None or self.transport.is_closing():
            return False
        dues = self.dues()
        if not may_close(dues):
            return False
        if not self.half_closed and not end_unless_unread(self.socket, socket.SHUT_RDWR):
            return False
        self.close(CloseReason.ROOM, dues)
        return True

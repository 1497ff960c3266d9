"""The half of a client's connection that writes: replies in their order, and its backpressure."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque

from brackenloft.admission.account import Held, PeerAccount
from brackenloft.admission.memory import SENT_PARTS
from brackenloft.admission.rate import Least, Pace
from brackenloft.answers import FAILED
from brackenloft.net.client_owner import BufferAccount
from brackenloft.net.client_state import FACTS, FOLLOWS, ConnectionEvent, ConnectionState
from brackenloft.net.close_audit import PeerHistory
from brackenloft.net.kernel import unacknowledged
from brackenloft.net.slots import Slot
from brackenloft.net.streams import Stream
from brackenloft.obligations import longest_silence_s

STALLED_S = 15.0  # a client that takes no byte of its answers for so long is gone; a burst may save as much
REPLY = 256  # bytes that a reply takes beside its own, while those before it are owed
BUFFERED = (
    Held.COMMANDS,
    Held.IN_HAND,
    Held.REPLIES,
    Held.UNSENT,
)  # what the process itself buffers for a client
WRITE_RATE = 4 * 1024  # bytes a second that a client takes at least of answers that pile up here


class Replies(asyncio.BufferedProtocol):
    """What is owed on a connection, and what of it is still to be written."""

    socket: socket.socket
    peer_history: PeerHistory
    waits_turn: bool  # what it has read waits until others have been read

    def __init__(self, clients: BufferAccount) -> None:
        self.clients = clients
        self.transport: asyncio.Transport | None = None
        self.slots: deque[Slot] = deque()
        self.account = PeerAccount(clients.memory)
        self.state = ConnectionState.OPEN
        self.ending = self.half_closed = False  # as FACTS has them for the state
        self.stuck = self.paused = self.reading = False
        self.writes: Pace | None = None  # while it is stuck
        self.taken_last, self.taken_at = -1, 0.0  # the same by the last look, and since when
        self.written = 0  # bytes of replies that the transport has taken
        self.taken_before = (
            0  # bytes that the peer's machine had acknowledged when its pace was looked at last
        )

    # ---- What the other half does

    @property
    def unparsed(self) -> bool:
        """Whether bytes were read that may hold whole commands."""
        raise NotImplementedError

    def _read(self) -> None:
        raise NotImplementedError

    def throttle(self) -> None:
        """Read on, or no further, as there is room."""
        raise NotImplementedError

    def _leave_if_done(self) -> None:
        raise NotImplementedError

    def turned_away(self) -> None:
        """Nothing was sent on for a request."""
        raise NotImplementedError

    def _drop_replies_behind(self) -> None:
        raise NotImplementedError

    def _rests(self) -> None:
        raise NotImplementedError

    def _is_stuck(self) -> None:
        raise NotImplementedError

    def _takes_again(self) -> None:
        raise NotImplementedError

    def _happens(self, event: ConnectionEvent) -> None:
        """Take an event of the connection's life."""
        self.state = FOLLOWS[self.state][event]
        facts = FACTS[self.state]
        self.ending, self.half_closed = facts.ending, facts.half_closed

    # ---- Counting

    def hold(self, size: int, kind: Held) -> None:
        """Count bytes that are held for this connection, or less of them."""
        self.account.hold(kind, size)

    @property
    def held(self) -> int:
        """Bytes of commands and replies."""
        return self.account.of(*BUFFERED)

    @property
    def in_hand(self) -> int:
        """Bytes of commands and replies in slots."""
        return self.account.of(Held.IN_HAND, Held.REPLIES)

    @property
    def unsent(self) -> int:
        """Bytes of replies that it has not taken, while it is stuck."""
        return self.account.of(Held.UNSENT)

    # ---- Replies out

    def _reply(self, answer: bytes) -> None:
        size = len(answer) + REPLY
        self.slots.append(Slot(self, answer, size=size))
        self.hold(size, Held.REPLIES)
        self.flush()

    def flush(self) -> None:
        """Write the replies that are due, in the order of their commands."""
        if self.transport is None:
            return
        while self.slots and not self.stuck:
            slot = self.slots[0]
            if slot.stream and not self._pass_on(slot, slot.stream):
                break
            if slot.answer is None:
                break
            if not self._write_reply(slot, slot.answer):
                break
        if self.stuck:
            self._count_unsent()
        if self.reading:
            return
        if not self.waits_turn and (self.unparsed or (self.paused and not self.ending)):
            self._read()
        elif not self.slots:
            self._rests()
        self._leave_if_done()

    def _write_reply(self, slot: Slot, answer: bytes | memoryview) -> bool:
        """Write a reply, in parts where it is long; whether it is done with.

        Guards against a reply that the kernel takes whole, whatever its buffer: it bounds the number of
        writes that it takes, not their size.
        """
        part = self.clients.most_unsent
        while len(answer) > part:
            self._write(slot.take(part))
            if self.stuck:
                return False
            answer = answer[part:]
        self.slots.popleft().release()
        if answer:
            self._write(answer)
        return True

    def _write(self, data: bytes | memoryview) -> None:
        assert self.transport
        self.written += len(data)
        self.transport.write(data)

    def _pass_on(self, slot: Slot, stream: Stream) -> bool:
        """Write what has come of a long value whose turn it is; whether its slot is done with."""
        assert self.transport
        if stream.failed:
            self._give_up(slot, stream)
            return True
        if not stream.begun:
            if not self._may_begin(stream):
                return False
            self._write(slot.begin(stream))
            self.throttle()
        while stream.pieces and not self.stuck:
            self._write(stream.take(self.clients.most_unsent))
        if stream.pieces or not stream.ended:
            return False
        stream.streams.open.discard(stream)
        self._write(b"\r\n")
        return True

    def _may_begin(self, stream: Stream) -> bool:
        """Whether a part of a value may go to the client: it is whole, hurried, or nothing is owed behind it.

        Guards against replies that can't follow a value whose rest never comes. Once it has begun, no further
        command is read before its end.
        """
        if stream.ended or stream.hurried or (len(self.slots) == 1 and not self.unparsed):
            return True
        stream.gather()
        return False

    def _give_up(self, slot: Slot, stream: Stream) -> None:
        """The rest of a value never comes: it has failed; the connection goes on if none of it was written.

        Else the client can tell that it is not whole: the connection ends behind what was passed on.
        """
        stream.abandon()
        if not stream.begun:
            slot.settle(FAILED)
            return
        slot.stream = None
        self._happens(ConnectionEvent.END)
        self._drop_replies_behind()

    def pause_writing(self) -> None:
        """The client does not take its answers: it is read no further, and given up after a while.

        Guards against a slow reader whose answers pile up here.
        """
        self.stuck = True
        if self.writes is None:
            self.writes = Pace(Least(WRITE_RATE, STALLED_S, STALLED_S), time.monotonic())
            self.taken_before, self.taken_last = self._taken(), -1
            self.peer_history.restart()
        self.account.change(Held.SENT, SENT_PARTS * self.clients.most_unsent)
        self._is_stuck()
        self._count_unsent()
        self.throttle()

    def _count_unsent(self) -> None:
        """Count what it has not taken yet as held."""
        size = self.transport.get_write_buffer_size() if self.stuck and self.transport else 0
        self.account.change(Held.UNSENT, size)

    def takes_too_little(self, now: float, late: float) -> bool:
        """Whether answers pile up here that it takes too slowly, by what its machine has acknowledged.

        Guards against cutting off who reads steadily: the transport's buffer alone moves in steps of a third
        of the kernel's, which may be a megabyte.
        """
        assert self.writes
        self._count_unsent()
        self.writes.excuse(late)
        if not self.writes.too_slow(now):
            return False
        before, self.taken_before = self.taken_before, self._taken()
        self.writes.moved(max(0, self.taken_before - before), now)
        return self.writes.too_slow(now)

    def takes_nothing(self, now: float, late: float) -> bool:
        """Whether its machine acknowledges nothing for longer than a process that reads would let it.

        ``now`` by time.monotonic(); ``late``: seconds for which the loop was held up since the last look.
        """
        taken = self._taken()
        if taken != self.taken_last:
            self.taken_last, self.taken_at = taken, now
        else:
            self.taken_at += late
        return now - self.taken_at >= longest_silence_s(taken)

    def _taken(self) -> int:
        """Bytes of replies that the peer's machine has acknowledged."""
        return self.written - self.undelivered()

    def undelivered(self) -> int:
        """Bytes of replies that the transport has taken and the peer's machine has not acknowledged."""
        if self.transport is None:
            return 0
        unwritten = self.transport.get_write_buffer_size()
        return unwritten + unacknowledged(self.socket)

    def resume_writing(self) -> None:
        self.stuck = False
        self._takes_again()
        self._count_unsent()
        self.flush()
        if not self.stuck:
            self.writes = None  # it has caught up; until then one pace counts
            self.account.change(Held.SENT, 0)

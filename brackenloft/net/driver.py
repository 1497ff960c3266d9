"""Between the sockets and the decisions: events in, actions out, timers, one outcome for each send."""

from __future__ import annotations

import asyncio
import heapq
import logging
import time
from collections import deque
from collections.abc import Callable
from itertools import count
from math import ceil
from typing import Any

from brackenloft import interface as api
from brackenloft.logic import Gateway
from brackenloft.net.servers import Attempt, Reply, Servers

log = logging.getLogger(__name__)

CLIENT_MARGIN_MS = 10.0  # kept of a client's wait: the way here and back, and a loop that is late


class Clock:
    """Unix time in milliseconds that never goes back.

    Guards against a system clock that is set while the gateway runs: read once, then counted on.
    """

    def __init__(self) -> None:
        self._offset = time.time() - time.monotonic()

    def __call__(self) -> float:
        return (time.monotonic() + self._offset) * 1000.0


class Call:
    """A client's request in hand, until it has been answered and no attempt is out."""

    __slots__ = ("request_id", "encode", "on_answer", "deadline", "sends", "out", "answered")

    def __init__(
        self, request_id: str, encode: Callable[[float], bytes], on_answer: Callable[[bytes], None],
    ) -> None:
        self.request_id, self.encode, self.on_answer = request_id, encode, on_answer
        self.deadline, self.sends, self.answered = 0.0, 0, False
        self.out: dict[int, Attempt] = {}


class Driver:
    """Drives one ``Gateway``: hands it events one after the other and carries out what it decides."""

    def __init__(self, gateway: Gateway, servers: Servers, clock: Callable[[], float]) -> None:
        self.gateway, self.servers, self.clock = gateway, servers, clock
        self.calls: dict[str, Call] = {}
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.timers: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self.order = count()
        self.alarm: tuple[float, asyncio.TimerHandle] | None = None
        self.loop = asyncio.get_running_loop()
        self.actions: dict[type, Callable[[Any], None]] = {
            api.Send: self._send, api.Refuse: self._refuse, api.Fail: self._fail, api.Cancel: self._cancel,
            api.SetTimer: self._set_timer, api.Log: lambda action: log.info("%s", action.text),
            api.CloseIdle: lambda action: servers.close_idle(action.server),
        }

    # ---- Events in

    def post(self, event: api.Event) -> None:
        """Queue an event and handle all that are queued.

        Guards against re-entrance: what an action gives rise to at once (a connection that is refused)
        waits until the actions before it are carried out.
        """
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        try:
            while self.events:
                self._handle(self.events.popleft())
        finally:
            self.handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            for action in self.gateway.handle(self.clock(), event):
                self._perform(action)
        except Exception:  # one request that the decisions can't cope with must not take the others along
            log.exception("the decisions failed on %r", event)
            request_id = getattr(event, "request_id", None)
            if isinstance(request_id, str):
                self._fail(api.Fail(request_id))

    def _perform(self, action: api.Action) -> None:
        perform = self.actions.get(type(action))
        if perform:
            perform(action)
        else:
            log.error("no such action on these sockets: %r", action)

    def request(self, call: Call, request: api.Request, waits_ms: float) -> None:
        """Take a client's request; it is answered through ``call.on_answer``, once."""
        call.deadline = self.clock() + waits_ms
        self.calls[call.request_id] = call
        self.post(request)

    def client_gone(self, request_id: str) -> None:
        """The client closed its connection: nothing more is owed."""
        call = self.calls.get(request_id)
        if call and not call.answered:
            call.answered = True
            self.post(api.ClientGone(request_id))
            self._drop_if_done(call)

    # ---- Actions out

    def _send(self, action: api.Send) -> None:
        call = self.calls.get(action.request_id)
        if call is None:
            log.error("sent after its end: %r", action)
            return
        number, now = call.sends, self.clock()
        call.sends += 1
        wait = call.deadline - now
        if action.timeout_ms:
            wait = min(wait, action.timeout_ms)
        if call.answered or wait <= 0.0:
            self._outcome(call, number, action.server, now, Reply(api.Status.NOT_SENT))
            return

        def done(reply: Reply) -> None:
            call.out.pop(number, None)
            self._outcome(call, number, action.server, now, reply)

        attempt = Attempt(call.encode(wait), done)
        call.out[number] = attempt
        self.servers.start(action.server, attempt)
        if number in call.out:
            self._at(now + wait, self._time_out, attempt)

    def _time_out(self, attempt: Attempt) -> None:
        self.servers.stop(attempt, api.Status.TIMEOUT)

    def _outcome(self, call: Call, number: int, server: int, sent: float, reply: Reply) -> None:
        """The outcome of an attempt; a good answer goes to the client first, if it still waits."""
        if reply.value is not None and not call.answered:
            self._answer(call, b"$%d\r\n%b\r\n" % (len(reply.value), reply.value))
        self.post(api.Outcome(
            call.request_id, number, server, reply.status, self.clock() - sent, call.answered,
            reply.used, reply.cost, reply.load))
        self._drop_if_done(call)

    def _refuse(self, action: api.Refuse) -> None:
        advice = round(action.retry_after_ms)
        self._final(action.request_id, b"-BUSY %d\r\n" % advice if advice > 0 else b"-BUSY\r\n")

    def _fail(self, action: api.Fail) -> None:
        self._final(action.request_id, b"-ERR failed\r\n")

    def _final(self, request_id: str, answer: bytes) -> None:
        call = self.calls.get(request_id)
        if call and not call.answered:
            self._answer(call, answer)
            self._drop_if_done(call)

    def _answer(self, call: Call, answer: bytes) -> None:
        call.answered = True
        call.on_answer(answer)

    def _drop_if_done(self, call: Call) -> None:
        if call.answered and not call.out:
            self.calls.pop(call.request_id, None)

    def _cancel(self, action: api.Cancel) -> None:
        call = self.calls.get(action.request_id)
        attempt = call.out.get(action.attempt) if call else None
        if attempt:
            self.servers.stop(attempt, api.Status.CANCELLED)

    # ---- Timers

    def _set_timer(self, action: api.SetTimer) -> None:
        self._at(self.clock() + action.delay_ms, self.post, api.TimerFired(action.token))

    def _at(self, due: float, call: Callable[[Any], None], argument: Any) -> None:
        heapq.heappush(self.timers, (due, next(self.order), call, argument))
        self._arm()

    def _arm(self) -> None:
        """One timer of the loop stands for all of these: it is set for the first that falls due.

        Whole milliseconds, rounded up. Guards against spinning: the loop rounds a shorter delay down to
        nothing, and would come back again and again until the timer is due.
        """
        due = self.timers[0][0]
        if self.alarm and self.alarm[0] <= due:
            return
        if self.alarm:
            self.alarm[1].cancel()
        delay_ms = max(1, ceil(due - self.clock()))
        self.alarm = (due, self.loop.call_later(delay_ms / 1000.0, self._fire))

    def _fire(self) -> None:
        self.alarm = None
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            _, _, call, argument = heapq.heappop(self.timers)
            call(argument)
        if self.timers:
            self._arm()

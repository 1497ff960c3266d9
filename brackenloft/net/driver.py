"""Between the sockets and the decisions: events in, actions out, timers, one outcome for each send."""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from brackenloft import interface as api
from brackenloft.answers import FAILED, SERVED, Answer, Granted, Opened, Refused, Served, Tally
from brackenloft.net.attempt import Attempt, Reply
from brackenloft.net.call import Call, CallListener, Usage
from brackenloft.net.counters import Counters
from brackenloft.net.lag import Lag
from brackenloft.net.send_check import SendCheck
from brackenloft.net.sent_requests import SentRequests
from brackenloft.net.servers import Servers
from brackenloft.net.streams import Stream, gather_ms
from brackenloft.net.timers import Timers
from brackenloft.net.wire import Buffers
from brackenloft.obligations import Obligations
from brackenloft.policy import Gateway
from brackenloft.policy.attempts import NEVER_RAN

log = logging.getLogger(__name__)

LATE_MS = 25.0  # a loop so late was held up: what has come meanwhile is read before any time is called up
STREAM_LOOK_MS = 500.0  # between two looks at a long value past its time that waits for the replies before it
OWN_SHARE = 0.3  # of an attempt's time lost by the loop, from which a connect that failed is its doing


class Driver:
    """Drives one ``Gateway``: hands it events one after the other and carries out what it decides."""

    def __init__(self, gateway: Gateway, servers: Servers, clock: Callable[[], float]) -> None:
        self.gateway, self.servers, self.clock = gateway, servers, clock
        self.calls: dict[str, Call] = {}
        self.doors: dict[str, Servers] = {}  # connections to the same servers in other protocols, by name
        self.counters = Counters()
        self.sent_requests = SentRequests()
        self.obligations = Obligations()
        self.counting: Usage | None = None
        self.tallies = {kind.name: Tally() for kind in gateway.settings.classes}
        self.events: deque[api.Event] = deque()
        self.ended: list[Call] = []  # answered, and not yet looked at for what is still to be written
        self.handling = False
        self.loop = asyncio.get_running_loop()
        self.timers = Timers(self.loop, clock, LATE_MS)
        self.lag = Lag(self.loop, LATE_MS, self.counters.stalled, lambda: bool(self.calls))
        self.check = SendCheck(self.lag, self.sent_requests, self.obligations, self.client_gone)
        self.actions: dict[type, Callable[[Any], None]] = {
            api.Send: self._send,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.Log: lambda action: log.info("%s", action.text),
            api.CloseIdle: self._close_idle,
        }

    @property
    def tap(self) -> CallListener | None:
        """Who is told of attempts, and tells what another process sends on."""
        return self.check.other

    @tap.setter
    def tap(self, other: CallListener | None) -> None:
        self.check.other = other

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
        while self.ended:  # behind the event's actions, which may cancel what is out in another way
            self._send_no_more(self.ended.pop())

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
        call.request, call.tally = request, self.tallies[request.class_name]
        self.counters.requests += 1
        self.lag.watch()
        self.post(request)
        if not call.answered and not call.out:
            self.counters.held += 1

    def check_new(self, request_id: str, is_write: bool) -> None:
        """ValueError: a request of this id is in hand, or may have run where that is not safe to repeat."""
        if request_id in self.calls:
            raise ValueError("a request of this id is in hand")
        if is_write and self.check.may_have_run(request_id, self.clock()):
            raise ValueError("a request of this id may have run")

    def turn_away(self, class_name: str) -> Refused:
        """Refuse a request that is not taken at all, for want of room; the answer."""
        answer = Refused()
        self.counters.requests += 1
        self.tallies[class_name].count(answer)
        return answer

    @property
    def unanswered(self) -> int:
        """Requests in hand of whose answer nothing has come."""
        return len(self.calls) - len(self.servers.streams.open)

    @property
    def in_progress(self) -> int:
        """Requests taken and not ended."""
        ended = sum(tally.passed + tally.dropped + tally.failed for tally in self.tallies.values())
        return self.counters.requests - self.counters.gone - ended

    def client_gone(self, request_id: str, failed: bool = False) -> None:
        """The client closed its connection, or is told that its request ``failed``: nothing more is owed."""
        call = self.calls.get(request_id)
        if call and not call.answered:
            call.answered = True
            if failed:
                call.tally.count(FAILED)
            else:
                self.counters.gone += 1
            self.post(api.ClientGone(request_id))
            if call.stream:
                call.stream.abandon()
            self._send_no_more(call)
            self._drop_if_done(call)

    def _send_no_more(self, call: Call) -> None:
        """Its one answer has been given, or nobody waits for it: what was not written whole never is.

        Guards against attempts that wait for a connection, or for one that comes up late, and then go out for
        nobody; where running work may be cancelled, the decisions withdraw it as well.
        """
        for attempt in list(call.out.values()):
            if attempt and attempt.done and not (attempt.connection and attempt.connection.handed):
                self.servers.stop(attempt, api.Status.CANCELLED, api.Status.NOT_SENT)
        call.drop_command()

    def release(self, request_id: str, status: api.Status, units: float | None = None) -> None:
        """The host has done the work that it was granted, once; ``units`` puts a guess right."""
        call = self.calls.get(request_id)
        if call and call.out.pop(0, self) is None:
            if self.counting and units is not None:
                self.counting.settled(request_id, units)
            self.post(api.Outcome(request_id, 0, api.HERE, status, 0.0, True, final_units=units))
            self._drop_if_done(call)

    def abandon(self) -> None:
        """At the very end: whatever is not answered has failed. Attempts still out are closed elsewhere."""
        for call in list(self.calls.values()):
            for attempt in list(call.out.values()):
                if attempt and attempt.streams:
                    self.servers.stop(attempt, api.Status.CANCELLED)
            if not call.answered:
                self._answer(call, FAILED)
                self.post(api.ClientGone(call.request_id))
            call.out = {number: attempt for number, attempt in call.out.items() if attempt is not None}
            self._drop_if_done(call)

    def close(self) -> None:
        """No timer fires any more."""
        self.lag.stop()
        self.timers.close()

    # ---- Actions out

    def _send(self, action: api.Send) -> None:
        call = self.calls.get(action.request_id)
        if call is None:
            log.error("sent after its end: %r", action)
            return
        number = call.sends
        call.sends += 1
        wait = call.deadline - self.clock()
        if action.timeout_ms:
            wait = min(wait, action.timeout_ms)
        if not self.check.may_start(call, wait):
            self._outcome(call, number, action.server, Reply(api.Status.NOT_SENT), 0.0)
            return
        if self.counting and number == 0:
            self.counting.sent(call)
        if action.server == api.HERE:
            call.out[number] = None
            self._answer(call, Granted())
            return

        self._start(call, number, action, wait)
        attempt = call.out.get(number)
        if attempt is None:
            return
        self._later(call, wait, self._time_out, attempt)
        if action.write_within_ms < wait:
            self._later(call, action.write_within_ms, self._end_write_window, attempt)

    def _start(self, call: Call, number: int, action: api.Send, wait_ms: float) -> None:
        server = action.server

        def done(reply: Reply) -> None:
            call.out.pop(number, None)
            latency_ms = self._taken_ms(attempt)
            if self.tap:
                self.tap.ended(call)
            call.read_cost(reply)
            self._outcome(call, number, server, reply, latency_ms, attempt.streams)

        now = time.monotonic()
        due = now + wait_ms / 1000.0
        encode = partial(self._encode, call)
        attempt = Attempt(encode, done, due, self._opened if call.on_open else None)
        attempt.request_id, attempt.number, attempt.server = call.request_id, number, server
        attempt.write_by = now + action.write_within_ms / 1000.0
        attempt.ask = partial(self.check.why_withheld, call, attempt)
        self.counters.attempts += 1
        if call.request.is_write:
            self.sent_requests.note(call.request_id, self.clock())
        call.out[number] = attempt
        if self.tap:
            self.tap.sent(call)
        self.doors.get(call.door, self.servers).start(server, attempt)

    def _encode(self, call: Call, left_ms: float) -> Buffers:
        """The command of an attempt that is written now."""
        self.obligations.sends(call.request_id, not call.answered, call.deadline - self.clock())
        return call.command(left_ms)

    def _close_idle(self, action: api.CloseIdle) -> None:
        for servers in (self.servers, *self.doors.values()):
            servers.close_idle(action.server)

    def _opened(self, attempt: Attempt, stream: Stream) -> bool:
        """A long value begins to come; False if the request has had its answer, or has another stream."""
        call = self.calls.get(attempt.request_id)
        if call is None or call.answered or call.stream or call.on_open is None:
            return False
        call.stream, call.first_ms = stream, self._taken_ms(attempt)
        self.post(api.StreamStarted(call.request_id, attempt.number, attempt.server, call.first_ms))
        stream.on_gather = partial(self._hurry_later, call, stream)
        call.on_open(Opened(stream))
        return True

    def _hurry_later(self, call: Call, stream: Stream) -> None:
        self._later(call, gather_ms(call.deadline - self.clock()), Stream.hurry, stream)

    def _taken_ms(self, attempt: Attempt) -> float:
        """How long an attempt has taken until now, without what was the loop's doing."""
        now = time.monotonic()
        return (now - attempt.began - self.lag.excuse(attempt.began, attempt.written, now)) * 1000.0

    def _time_out(self, attempt: Attempt) -> None:
        call = self.calls.get(attempt.request_id)
        stream = call.stream if call and attempt.streams else None
        if call is None or (stream and stream.begun):
            return  # from its first bytes on it is the client's, without a deadline
        if stream:  # it waits for the replies before it
            self._later(call, STREAM_LOOK_MS, self._time_out, attempt)
            return
        self._stop(attempt, api.Status.TIMEOUT)

    def _end_write_window(self, attempt: Attempt) -> None:
        """Withdraw a repeat that its server has not taken whole while its key is remembered.

        Guards against a second run by a connection that comes up late, or a server that reads slowly.
        """
        connection = attempt.connection
        if connection and connection.handed:
            connection.discard_unacknowledged()
        else:
            self.servers.stop(attempt, api.Status.CANCELLED, api.Status.NOT_SENT)

    def _stop(self, attempt: Attempt, status: api.Status) -> None:
        """Wait no more. What a held up loop kept from being sent is no failure of the server."""
        now = time.monotonic()
        ours = self.lag.excuse(attempt.began, attempt.written, now) > OWN_SHARE * (now - attempt.began)
        not_up = api.Status.NOT_SENT if ours else api.Status.CONNECT_FAILED
        self.servers.stop(attempt, status, not_up)

    def _end_stream(self, call: Call, stream: Stream, reply: Reply) -> None:
        """A stream has ended, whole or not. What was passed on in part can't be tried again."""
        good = reply.status is api.Status.OK
        if not call.answered:
            call.answered = True
            call.tally.count(SERVED if good else FAILED)
            self.ended.append(call)
        (stream.end if good else stream.fail)()

    def _outcome(
        self,
        call: Call,
        number: int,
        server: int,
        reply: Reply,
        latency_ms: float,
        streamed: bool = False,
    ) -> None:
        """The outcome of an attempt; a good answer goes to the client first, if it still waits."""
        call.may_have_run = call.may_have_run or reply.status not in NEVER_RAN
        if call.stream and streamed:
            latency_ms = call.first_ms
            self._end_stream(call, call.stream, reply)
        elif reply.value is not None and not call.answered and not call.stream:
            self._answer(call, Served(reply.value))
        if self.counting and reply.cost is not None:
            self.counting.settled(call.request_id, reply.cost)
        self.post(
            api.Outcome(
                call.request_id,
                number,
                server,
                reply.status,
                latency_ms,
                call.answered,
                reply.used,
                reply.cost,
                reply.load,
            )
        )
        self._drop_if_done(call)

    def _refuse(self, action: api.Refuse) -> None:
        if self.counting and action.over_quota and action.request_id in self.calls:
            self.counting.refused(self.calls[action.request_id])
        self._final(action.request_id, Refused(round(action.retry_after_ms), action.over_quota))

    def _fail(self, action: api.Fail) -> None:
        self._final(action.request_id, FAILED)

    def _final(self, request_id: str, answer: Answer) -> None:
        call = self.calls.get(request_id)
        if call and not call.answered and not call.stream:
            self._answer(call, answer)
            self._drop_if_done(call)

    def _answer(self, call: Call, answer: Answer) -> None:
        call.answer(answer)
        self.ended.append(call)

    def _drop_if_done(self, call: Call) -> None:
        if call.answered and not call.out:
            self.calls.pop(call.request_id, None)
            for handle in call.timers:
                self.timers.cancel(handle)
            call.timers.clear()
            if not call.may_have_run:
                self.sent_requests.forget(call.request_id)
            call.release()

    def _cancel(self, action: api.Cancel) -> None:
        call = self.calls.get(action.request_id)
        attempt = call.out.get(action.attempt) if call else None
        if attempt:
            self._stop(attempt, api.Status.CANCELLED)

    # ---- Timers

    def _later(self, call: Call, delay_ms: float, run: Callable[[Any], None], argument: Any) -> None:
        """Run it after this time, unless the request has ended by then."""
        call.timers.append(self.timers.at(self.clock() + delay_ms, run, argument))

    def _set_timer(self, action: api.SetTimer) -> None:
        """A request's own timers are taken back with it: most fall due long after its end."""
        handle = self.timers.at(self.clock() + action.delay_ms, self.post, api.TimerFired(action.token))
        call = self.calls.get(action.request_id)
        if call:
            call.timers.append(handle)

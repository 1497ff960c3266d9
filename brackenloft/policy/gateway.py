"""The gateway's decisions: events go in, actions come out. The types of both stand in interface.py.

The path of a request, from top to bottom of ``Gateway``:
  _on_request  unknown names are refused; the customer's leaky bucket says send, hold or refuse (meter)
  _release     after a hold, or at once: the in-flight cap, the ceiling, a server (servers); else it is parked
  _send        an attempt goes out; its server, its customer and the budgets are charged
  _on_outcome  health is judged, the meter read; a failed attempt is sent again or answered
  _answer      refused where a retry is proven harmless, else failed; once, before the deadline
Parked requests are tried again when an attempt ends or the list changes; states are tables in attempts.py.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from math import inf
from typing import Any

import brackenloft.interface as api
from brackenloft.policy.attempts import Flight, State, Terms, Trigger
from brackenloft.policy.crowd import Crowd
from brackenloft.policy.meter import Customer, Meter
from brackenloft.policy.parked import Parked
from brackenloft.policy.servers import DOUBTED, SLOW, Fleet, Server

ANSWER_TICKS = 2.0  # ticks before the client's deadline of the last answer: one to fire, one to spare
ASK_SHARE = 0.5  # of the time in which discovery must be asked: room for one failed call
MOST_PARKED = 1000  # whatever the servers take up: some seconds of work at hand
RETRY_SHARE = 0.2  # further attempts per first one, over time: bounds what failures can add to the load
RETRY_STORE = 10.0  # further attempts saved up at most
MOST_NOTES = 100  # different lines for the people on call


class Gateway:
    """One gateway's decisions. Feed events in order; carry out the actions in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.terms = {(kind.name, plan.name): Terms(kind, plan)
                      for kind in settings.classes for plan in settings.plans}
        self.kinds = {kind.name: kind for kind in settings.classes}
        self.meter = Meter(settings)
        self.fleet = Fleet(settings, self.random, self._log_once)
        self.flights: dict[str, Flight] = {}
        self.parked = Parked(self._value)
        self.crowd = Crowd()
        self.timers: dict[int, tuple[Callable[[Any], None], Any]] = {}
        self.tokens, self.retries, self.now, self.ends_at = 0, RETRY_STORE, -inf, inf
        self.logged: set[str] = set()
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            api.Request: self._on_request, api.Outcome: self._on_outcome, api.TimerFired: self._on_timer,
            api.ServerList: self._on_list, api.ClientGone: self._on_gone, api.StreamStarted: self._on_stream,
            api.ProbeResult: self._on_probe, api.Stopping: self._on_stopping,
            api.PlansChanged: self._on_plans, api.Reading: lambda event: self.meter.grant(event, self.now),
        }

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        """Decide on one event at this time; times never go back."""
        if not now_ms >= self.now:
            raise ValueError(f"now_ms: {now_ms!r} is before {self.now!r}")
        self.now = self.fleet.now = now_ms
        self.actions = []
        self.meter.started_at = min(self.meter.started_at, now_ms)
        if handler := self.handlers.get(type(event)):
            handler(event)
        return self.actions

    def allowance(self, plan_name: str, customer_name: str, width: int = 1) -> api.Allowance:
        """What a customer could have now; changes nothing. KeyError: there is no such plan."""
        return self.meter.allowance(plan_name, customer_name, width, self.now)

    # ---- Requests in

    def _on_plans(self, event: api.PlansChanged) -> None:
        """At once, however many: terms and customers follow as they are met."""
        self.meter.plans, self.meter.plan_of, self.terms = event.plans, event.plan_of, {}

    def _terms(self, event: api.Request) -> Terms | None:
        key = name, plan_name = event.class_name, self.meter.plan_name(event.customer, event.plan)
        if key not in self.terms and name in self.kinds and plan_name in self.meter.plans:
            self.terms[key] = Terms(self.kinds[name], self.meter.plans[plan_name])
        return self.terms.get(key)

    def _on_request(self, event: api.Request) -> None:
        terms = self._terms(event)
        if event.request_id in self.flights:
            return  # it is in hand already, and may have run: a refusal here would be its answer
        if terms is None:
            self._log_once(f"refused: unknown class {event.class_name!r} or plan {event.plan!r}")
            self.actions.append(api.Refuse(event.request_id))
            return
        kind, plan = terms.kind, terms.plan
        if event.age_ms and event.age_ms + self.fleet.latency[kind.name] >= kind.aim_ms:
            self.actions.append(api.Refuse(event.request_id))
            return
        meter, now = self.meter, self.now
        customer = meter.customer(event, plan, now)
        if event.is_retry and meter.thin(customer, plan):
            self.actions.append(api.Refuse(event.request_id, over_quota=True))
            return
        flight = Flight(event, terms, customer, now, self.random.random())
        before = customer.excess, customer.touched
        hold = 0.0 if event.paid else meter.hold_ms(customer, plan, kind, event.units, now)
        if hold and hold >= min(event.patience_ms, meter.useful_ms(kind, self.fleet.latency[kind.name])):
            customer.excess, customer.touched = before
            advice = meter.advice_ms(customer, plan, event.units, now)
            self.actions.append(api.Refuse(event.request_id, advice, True))
            return
        if event.scarcity and self._crowded_out(event, kind, plan):
            customer.excess, customer.touched = before
            self.actions.append(api.Refuse(event.request_id))
            return
        self.flights[event.request_id] = flight
        if event.served_here and not hold:
            self._release(flight)
            if flight.state is not State.STREAMING:
                self._limit(flight)  # the host's, without a deadline, where it was granted
            return
        self._limit(flight)
        if hold > 0.0:
            flight.move(State.HELD)
            self._arm(hold, self._end_hold, flight, flight)
        else:
            self._release(flight)

    def _crowded_out(self, event: api.Request, kind: api.RequestClass, plan: api.Plan) -> bool:
        """Whether the place that the request would hold is better kept for another."""
        return self.crowd.turns_away(
            kind.worth * event.units, (plan.name, event.customer), plan.rate or 1.0, event.scarcity,
            event.turnover, self.now, self.random.random)

    # ---- To a server, or parked

    def _end_hold(self, flight: Flight) -> None:
        if flight.hears(Trigger.RELEASE):
            self._release(flight)

    def _release(self, flight: Flight) -> None:
        """First send: within the in-flight cap and the ceiling, to a server; else parked until it may go."""
        customer, meter = flight.customer, self.meter
        if meter.plan_of:
            meter.renew(customer, flight.request, self.now)
        plan = customer.plan
        wait = meter.ceiling_wait(customer, plan, flight.request.charge, self.now)
        if wait >= flight.deadline - self.now:
            return self._answer(flight)
        capped = customer.out >= meter.in_flight_cap(customer, plan, self.now)
        if server := None if wait or capped else self.fleet.choose(flight):
            self.parked.drop(flight)
            self._send(flight, server)
            return
        self._park(flight, wait, capped)

    def _park(self, flight: Flight, wait: float, capped: bool) -> None:
        """Hold what can't go now; the least worth for its work is refused when more wait than may.

        Guards against queues here that outlast the aim: as many wait as the servers take up in a part of it.
        """
        if flight not in self.parked:
            last = flight.arrived + flight.kind.aim_ms - self.fleet.latency[flight.kind.name]
            self._arm(max(0.0, last - self.now), self._end_park, flight, flight)
        flight.move(State.PARKED)
        self.parked.add(flight, capped, wait > 0.0)
        if len(self.parked) > min(MOST_PARKED, self.fleet.may_wait()):
            self._answer(self.parked.least())
        if wait and not flight.closed:
            self._arm(wait + self.settings.tick_ms, self._end_hold, flight, flight)

    def _value(self, flight: Flight) -> float:
        """Worth for the work."""
        kind = flight.kind
        return kind.worth * flight.plan.price * flight.request.units / self.fleet.latency[kind.name]

    def _end_park(self, flight: Flight) -> None:
        if flight.hears(Trigger.END_PARK) and (flight.request.served_here or self.fleet.ready):
            self._answer(flight)

    def _retry_parked(self, customer: Customer | None = None) -> None:
        """Release who may go now: who waits for a place of this customer's, and as many as there is room."""
        if customer:
            for flight in self.parked.of(customer):
                if customer.out >= self.meter.in_flight_cap(customer, customer.plan, self.now):
                    break
                if flight in self.parked:  # the one before may have taken its place among those that wait
                    self._release(flight)
        for flight in self.parked.in_order(turns=len(self.fleet.cold) == len(self.fleet.ready)):
            if self.fleet.full():
                break
            self._release(flight)

    # ---- Attempts

    def _send(self, flight: Flight, server: Server) -> None:
        request, number = flight.request, flight.sends
        if number == 0:
            self.meter.draw_ceiling(flight.customer, flight.customer.plan, request.charge, self.now)
        flight.sends += 1
        flight.out[number] = (server, self.now)
        flight.customer.out += 1
        if server is self.fleet.here:
            flight.move(State.STREAMING)  # the host's now, and without a deadline
            self.actions.append(api.Send(request.request_id, api.HERE))
            return  # nothing of it tells of servers: no pool, no marks, no budget of further attempts
        flight.move(State.OUT)
        if number == 0:
            self.retries = min(RETRY_STORE, self.retries + RETRY_SHARE)
        else:
            self.retries -= 1.0
        flight.tried.add(server.id)
        self.fleet.sent(server, (request.request_id, number))
        self.actions.append(
            api.Send(request.request_id, server.id, write_within_ms=flight.key_memory_left_ms(self.now)))
        self._arm(SLOW * flight.kind.aim_ms, self._on_slow, (flight, number), flight)

    def _may_resend(self, flight: Flight) -> bool:
        return flight.sends < self.settings.limits.max_attempts and self.retries >= 1.0

    def _on_outcome(self, event: api.Outcome) -> None:
        if (flight := self.flights.get(event.request_id)) is None or event.attempt not in flight.out:
            return
        attempt = flight.out.pop(event.attempt)
        server, fleet = attempt[0], self.fleet
        flight.customer.out -= 1
        if server is not fleet.here:
            fleet.back(server, (event.request_id, event.attempt))
            fleet.judge(flight, server, event.status)
            fleet.press(server, flight.kind, event)
            fleet.report(server, event.load)
        if event.used_percent is not None and flight.plan is flight.customer.plan:
            self.meter.read(flight.customer, event.used_percent / 100.0, self.now)
        if event.status is api.Status.OK:
            if server is not fleet.here:
                fleet.learn(server, flight.kind, event.latency_ms)
            if event.final_units is not None and not flight.closed:
                self.meter.settle(flight.customer, flight.request.units, event.final_units)
        if (event.closed or event.status is api.Status.OK) and not flight.closed:
            flight.move(State.ANSWERED)
        if not flight.closed:
            self._again(flight, event.status, attempt)
        self._drop_if_done(flight)
        if self.parked:
            self._retry_parked(flight.customer)

    def _again(self, flight: Flight, status: api.Status, attempt: tuple[Server, float]) -> None:
        """After a failed attempt: another one where class, budget and time allow it, else the answer.

        One that did not come up put no load on a server, and the next is not charged. Guards against refusing
        for want of budget while every gateway finds each of many dead servers by itself.
        """
        flight.note_end(status, attempt)
        if status is api.Status.CONNECT_FAILED:
            self.retries += 1.0  # the next one is free
        if flight.out or flight.state is State.STREAMING:
            return
        if status is not api.Status.NOT_SENT and self.now < flight.deadline and self._may_resend(flight):
            server = self.fleet.choose(flight)
            if server:
                self._send(flight, server)
                return
        self._answer(flight)

    def _on_slow(self, which: tuple[Flight, int]) -> None:
        """An attempt still out when it is slow tells so before its answer does; it may be taken elsewhere.

        One that must be withdrawn for that, only if its server was doubted before. Guards against a fleet in
        which a gateway meets a server once in seconds, so that one slow attempt is half of what it knows:
        forty gateways withdrew what ran and sent it anew, and overran servers that were only busy. Harm: the
        first silent attempts at a server wait until they are lost. A second copy throws nothing away.
        """
        flight, number = which
        self.fleet.young.discard((flight.request.request_id, number))
        if number not in flight.out or not flight.hears(Trigger.SLOW):
            return
        server, sent = flight.out[number]
        fleet, twice = self.fleet, self.settings.limits.may_duplicate
        doubted = fleet.share_failed(server, flight.keys[1]) >= DOUBTED
        fleet.mark(server, flight.keys[1], failed=True, why="silent")
        if not doubted:
            fleet.cut()
        self._arm((1.0 - SLOW) * flight.kind.aim_ms, self._on_late, which, flight)
        doubted = (doubted or fleet.lost(flight.kind, sent)
                   or (twice and fleet.share_failed(server, flight.keys[1]) >= DOUBTED))
        if flight.kind.effect is api.Effect.UNSAFE or flight.closed or len(flight.out) > 1 or not doubted:
            return
        if flight.maybe_ran is None:
            flight.maybe_ran = (server, sent)
        if not self._may_resend(flight) or self.fleet.full():
            return
        if (other := self.fleet.choose(flight)) and other is not server and twice:
            self._send(flight, other)
        elif other and self.settings.limits.can_cancel:
            self.actions.append(api.Cancel(flight.request.request_id, number))

    def _on_late(self, which: tuple[Flight, int]) -> None:
        """An attempt still out after the aim, and lost: the request is given up.

        Guards against connections that fell silent: each would hold a place of its customer's in-flight cap
        until the client's time is up. Harm: an answer that would have come late is not waited for.
        """
        flight, number = which
        out = flight.out.get(number)
        if out and flight.hears(Trigger.LATE) and self.fleet.lost(flight.kind, out[1]):
            self._answer(flight)

    def _on_stream(self, event: api.StreamStarted) -> None:
        if (flight := self.flights.get(event.request_id)) and flight.hears(Trigger.STREAM):
            flight.move(State.STREAMING)
            self.fleet.young.discard((event.request_id, event.attempt))  # it has been answered in time
            self._retry_parked()

    # ---- The end of a request

    def _answer(self, flight: Flight) -> None:
        """The final answer: a refusal where a retry is proven harmless, else a failure."""
        if flight.closed:
            return
        request_id = flight.request.request_id
        self.actions.append(api.Refuse(request_id) if flight.may_refuse() else api.Fail(request_id))
        self._close(flight)

    def _on_gone(self, event: api.ClientGone) -> None:
        if (flight := self.flights.get(event.request_id)) and not flight.closed:
            self._close(flight)

    def _close(self, flight: Flight) -> None:
        """Nothing more is owed. A request that was never sent on leaves no excess: guards against holds of
        clients that left. What is still out is withdrawn.
        """
        flight.move(State.ANSWERED)
        if flight.sends == 0:
            self.meter.settle(flight.customer, flight.request.units, 0.0)
        if self.settings.limits.can_cancel:
            self.actions.extend(api.Cancel(flight.request.request_id, number) for number in flight.out)
        self._drop_if_done(flight)

    def _drop_if_done(self, flight: Flight) -> None:
        if flight.closed:
            self.parked.drop(flight)
            if not flight.out:
                self.flights.pop(flight.request.request_id, None)
                for token in flight.timers:  # guards against keeping it until the last of them is due
                    self.timers.pop(token, None)
                flight.timers.clear()

    def _limit(self, flight: Flight) -> None:
        """Arm the final answer: before the client's deadline, and before this gateway is ended."""
        flight.deadline = min(flight.deadline, self.ends_at)
        last = flight.deadline - self.now - ANSWER_TICKS * self.settings.tick_ms
        self._arm(max(0.0, last), self._on_deadline, flight, flight)

    def _on_deadline(self, flight: Flight) -> None:
        if flight.hears(Trigger.DEADLINE):
            self._answer(flight)

    def _on_stopping(self, event: api.Stopping) -> None:
        """Guards against losing requests whose clients would wait longer than this gateway will live."""
        self.ends_at = self.now + event.within_ms
        for flight in list(self.flights.values()):
            if not flight.closed and flight.deadline > self.ends_at:
                self._limit(flight)

    # ---- Discovery

    def _on_list(self, event: api.ServerList) -> None:
        if self.settings.discovery is api.DiscoveryMode.ASK:
            self._ask(event.kind)
        if event.kind is not api.ListKind.FAILED:
            self.fleet.take_list(event)
            self._retry_parked()

    def _ask(self, kind: api.ListKind) -> None:
        """Subscribe at the start and after a failure; ask again well within the time the rules give."""
        if kind in (api.ListKind.CACHED, api.ListKind.FAILED):
            delay = 0.0 if kind is api.ListKind.CACHED else self.settings.contract.ask_within_ms * ASK_SHARE
            self._arm(delay, lambda _: self.actions.append(api.Subscribe(True)), None)

    def _on_probe(self, event: api.ProbeResult) -> None:
        if server := self.fleet.servers.get(event.server):
            self.fleet.report(server, event.load)
            if event.status in (api.Status.TIMEOUT, api.Status.CONNECT_FAILED):
                self.fleet.hint(server)

    # ---- Timers and notes

    def _on_timer(self, event: api.TimerFired) -> None:
        if call := self.timers.pop(event.token, None):
            call[0](call[1])

    def _arm(self, delay: float, run: Callable[[Any], None], item: Any, flight: Flight | None = None) -> None:
        self.tokens += 1
        self.timers[self.tokens] = (run, item)
        if flight:
            flight.timers.append(self.tokens)
        self.actions.append(api.SetTimer(self.tokens, delay, flight.request.request_id if flight else ""))

    def _log_once(self, text: str) -> None:
        if text not in self.logged and len(self.logged) < MOST_NOTES:
            self.logged.add(text)
            self.actions.append(api.Log(text))

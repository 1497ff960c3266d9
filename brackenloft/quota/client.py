"""The counter's client: one connection, one report after the other, each a single round trip.

Everything that goes wrong is a report that failed; what the counter answers is checked here, once. Nothing
waits for it: the decisions are told what was read when it has been read.
"""

from __future__ import annotations

import asyncio
import logging
import re
import secrets
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlsplit

import redis.asyncio as redis
from redis.exceptions import RedisError

from brackenloft.edge import Edge
from brackenloft.interface import Reading
from brackenloft.net.call import Call
from brackenloft.quota.core import REPORT_MS, Core, Key
from brackenloft.quota.model import NonsenseError, Reply, Report, Run, beats_of, epoch_of, figures_of
from brackenloft.quota.trust import State

log = logging.getLogger(__name__)

KEEP_MS = 600_000  # a customer's figures outlast its last report: longer than any split that is healed
TURN_S = REPORT_MS / 1000.0
ASLEEP_S = 5.0  # at most between two tries at a counter that can't be reached
PREFIX = re.compile(r"[0-9A-Za-z_:-]{1,64}")
MOST_TIMEOUT_MS = 10_000.0
MOST_SHOWN = 10  # customers on the operators' page: those most beyond their quota
MOST_FLIGHTS = 10_000  # requests whose units may still change; of the oldest no change is heard


@dataclass(frozen=True, slots=True)
class Where:
    """The counter's address and names. ``url``: redis:// or rediss:// (TLS), with user and password if any.

    ``ca``: a file of certificates that sign the counter's, in place of the system's.
    """

    url: str
    prefix: str = "quota"
    timeout_ms: float = 500.0
    ca: str | None = None

    def __post_init__(self) -> None:
        parts = urlsplit(self.url)
        if parts.scheme not in ("redis", "rediss") or not parts.hostname:
            raise ValueError("url: is no redis:// or rediss:// address")  # it may hold a password: not shown
        if not PREFIX.fullmatch(self.prefix):
            raise ValueError(f"prefix: {self.prefix!r:.60} is not of letters, digits, - _ and :")
        if not 1.0 <= self.timeout_ms <= MOST_TIMEOUT_MS:
            raise ValueError(f"timeout_ms: not from 1 to {MOST_TIMEOUT_MS:g}")
        if self.ca and parts.scheme != "rediss":
            raise ValueError("ca: goes with rediss:// alone")

    def shown(self) -> str:
        """Without user and password."""
        parts = urlsplit(self.url)
        return f"{parts.scheme}://{parts.hostname}:{parts.port or 6379}{parts.path}"


MEANS = {
    State.STARTING: "the even floor, until the others have been heard",
    State.FRESH: "what the others leave of each quota",
    State.LATE: "what was left by the last answer",
    State.SILENT: "the even floor, and for who was within its quota what it used and a half",
    State.SPLIT: "for customers of unseen gateways as in silence, for others what is left",
    State.SUSPICIOUS: "as in silence, as a figure fell or was none of ours",
    State.REPLACED: "as in silence, until all gateways have told their figures again",
}


class Counting:
    """Keeps an edge's customers in step with a shared counter while it is open."""

    def __init__(self, edge: Edge, where: Where, nonce: str | None = None) -> None:
        settings = edge.settings
        own = Run(settings.index, nonce or secrets.token_hex(8))
        self.edge, self.where = edge, where
        self.core = Core(settings.plans, settings.gateways, own, settings.limits.max_customers)
        self.now: Callable[[], float] = edge.driver.clock
        self.trips = 0
        self.flights: OrderedDict[str, tuple[Key, float]] = OrderedDict()
        self.task: asyncio.Task[None] | None = None

    # ---- Told by the driver

    def sent(self, call: Call) -> None:
        """A request's first attempt goes out, or its host was given leave: its units are used."""
        request = call.request
        if not request.charge:
            return
        key = request.plan, request.customer
        self.core.uses(key, request.charge, request.width, request.first_gateway, self.now())
        if self.edge.settings.settles:
            self.flights[request.request_id] = key, request.charge
            if len(self.flights) > MOST_FLIGHTS:
                self.flights.popitem(last=False)

    def refused(self, call: Call) -> None:
        """A request was turned away for its customer's quota."""
        request = call.request
        self.core.refuses((request.plan, request.customer), request.charge, self.now())

    def settled(self, request_id: str, units: float) -> None:
        """What it has really taken."""
        known = self.flights.pop(request_id, None)
        if known:
            self.core.settles(known[0], units - known[1], self.now())

    # ---- For people

    def figures(self) -> dict[str, Any]:
        """How far the counter is believed, and what that does to the slices."""
        now, core = self.now(), self.core
        trust, accounts = core.trust, core.accounts
        shares = [account.given for account in accounts.values() if now < account.given_until]
        worst = sorted(
            (
                (account.total(now) - account.plan.burst, key)
                for key, account in accounts.items()
                if account.beyond(now)
            ),
            reverse=True,
        )[:MOST_SHOWN]
        return {
            "state": core.state.value,
            "slices": MEANS[core.state],
            "at": self.where.shown(),
            "epoch": trust.epoch,
            "answered_ms_ago": round(now - trust.answered) if trust.answered > 0 else None,
            "unseen_gateways": sorted(trust.unseen(now)),
            "customers": len(accounts),
            "waiting": len(core.turn),
            "shares": {"told": len(shares), "mean": round(sum(shares) / len(shares), 3) if shares else None},
            "beyond_quota": [
                {"plan": key[0], "customer": key[1], "units": round(units, 1)} for units, key in worst
            ],
            "round_trips": self.trips,
            "counts": dict(core.counts),
        }

    # ---- Reports

    def start(self) -> Counting:
        """From now on."""
        self.edge.driver.counting = self
        self.task = self.edge.loop.create_task(self._run())
        return self

    async def close(self) -> None:
        """Tell what is left, and end."""
        self.edge.driver.counting = None
        if self.task:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _run(self) -> None:
        wait_s = self.where.timeout_ms / 1000.0
        more: dict[str, Any] = {"ssl_ca_certs": self.where.ca} if self.where.ca else {}
        client = redis.Redis.from_url(
            self.where.url,
            **more,
            protocol=2,
            socket_timeout=wait_s,
            socket_connect_timeout=wait_s,
            single_connection_client=True,
            retry_on_timeout=False,
            retry=None,
        )
        pause_s, again_at = TURN_S, 0.0
        try:
            while True:
                await asyncio.sleep(TURN_S)
                # Drawn anew each time: the one that was set before would hide a blank start.
                report = self.core.due(self.now(), secrets.token_hex(8)) if self.now() >= again_at else None
                if report is None:
                    before = self.core.state
                    self._post(self.core.rest(self.now()), before)
                    continue
                good = await self._report(client, report)
                pause_s = TURN_S if good else min(ASLEEP_S, 2.0 * pause_s)
                again_at = 0.0 if good else self.now() + pause_s * 1000.0
        finally:
            await client.aclose()

    async def _report(self, client: redis.Redis, report: Report) -> bool:
        asked, before = self.now(), self.core.state
        self.trips += 1
        try:
            async with asyncio.timeout(self.where.timeout_ms / 1000.0):
                answers = await self._trip(client, report)
            readings, good = self.core.answered(report, self._read(report, answers), asked, self.now()), True
        except NonsenseError as error:
            readings, good = self.core.nonsense(report, str(error), self.now()), True
        except (RedisError, OSError, TimeoutError) as error:
            await client.connection_pool.disconnect()
            readings, good = self.core.failed(report, type(error).__name__, self.now()), False
        self._post(readings, before)
        return good

    def _post(self, readings: list[Reading], before: State) -> None:
        for reading in readings:
            self.edge.driver.post(reading)
        if self.core.state is not before:
            log.warning("the shared counter is %s, after %s", self.core.state.value, before.value)

    async def _trip(self, client: redis.Redis, report: Report) -> list[object]:
        prefix, own = self.where.prefix, report.run.field()
        async with client.pipeline(transaction=False) as pipe:
            pipe.execute_command("SET", f"{prefix}:epoch", report.epoch, "NX")
            pipe.execute_command("GET", f"{prefix}:epoch")
            pipe.execute_command("HSET", f"{prefix}:gateways", own, report.beat)
            pipe.execute_command("HGETALL", f"{prefix}:gateways")
            for row in report.rows:
                key = self._key(row.plan, row.customer)
                pipe.execute_command("HSET", key, own, row.figures.text())
                if row.keeps:
                    pipe.execute_command("PEXPIRE", key, KEEP_MS)
                pipe.execute_command("HGETALL", key)
            answers: list[object] = await pipe.execute()
        return answers

    def _key(self, plan: str, customer: str) -> bytes:
        return f"{self.where.prefix}:c:{plan}:{customer}".encode()

    def _read(self, report: Report, answers: list[object]) -> Reply:
        """What came back, checked."""
        epoch, beats = answers[1], answers[3]
        if not isinstance(beats, dict) or not (epoch is None or isinstance(epoch, bytes)):
            raise NonsenseError("another kind of answer")
        rows = []
        at = 3
        for row in report.rows:
            at += 3 if row.keeps else 2
            hash_ = answers[at]
            if not isinstance(hash_, dict):
                raise NonsenseError("another kind of answer")
            rows.append(figures_of(hash_))
        return Reply(epoch_of(epoch), beats_of(beats), tuple(rows))


def follow(edge: Edge, where: Where, nonce: str | None = None) -> Counting:
    """Let an open edge count with others through the counter there."""
    return Counting(edge, where, nonce).start()

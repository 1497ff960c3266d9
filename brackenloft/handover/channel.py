"""The channel between a process and its successor: a Unix socket in the directory that both share.

Offer is the side that serves, TakeOver the side that starts. What is said in which order stands in
docs/design/ops.md; whatever goes wrong on the way leaves the one that serves as it was, and lets the other
start cold.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

from brackenloft.edge.edge import Edge
from brackenloft.handover.frames import Document, FrameError
from brackenloft.handover.line import SENT, STEP_S, Line
from brackenloft.handover.sent import adopt_sent, note_sent, read_sent
from brackenloft.handover.state import Adopted, StateError, pending, tell
from brackenloft.lifecycle import Event, State
from brackenloft.net.call import Call

log = logging.getLogger(__name__)

FLUSH_S = 0.02  # between two tellings of what was charged: as late as a meter's reading is many times over
HANDED_SPARE = 16  # descriptors that the old process may still take beyond what it holds: a burst of attempts
STALE_S = 10.0  # after a predecessor that could not be asked: longer than it may live on


def socket_path(directory: Path, listen: str) -> Path:
    """Where the process that serves these clients is asked."""
    return directory / f"handover-{listen.replace(':', '-').replace('/', '-')}"


class Short:
    """A path of a socket, however long its directory's: an address may have 107 bytes."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def __enter__(self) -> str:
        self.directory = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.directory}/{self.path.name}"

    def __exit__(self, *_: object) -> None:
        os.close(self.directory)


class SentIds:
    """Tells the other process the id of each request that may not run twice, before it is sent on."""

    def __init__(self) -> None:
        self.waiting: list[str] = []
        self.line: Line | None = None  # to the other process, once it listens

    def sent(self, call: Call) -> None:
        """An attempt goes out."""
        if call.request.is_write:
            self.waiting.append(call.request_id)
            self.flush()

    def ended(self, call: Call) -> None:
        """An attempt has ended, which changes nothing: it may have run."""

    def flush(self) -> None:
        """Tell what waits. One that does not read any more is found out elsewhere."""
        if self.line and self.waiting:
            ids, self.waiting = self.waiting, []
            with suppress(FrameError):
                self.line.say({"kind": SENT, "ids": ids})

    def catch_up(self) -> None:
        """Read what the other process has said so far."""
        if self.line:
            self.line.poll()

    def listens(self, line: Line) -> None:
        """The other process listens from now on."""
        self.line = line
        self.flush()


class Tap(SentIds):
    """Notes what is charged at this process after its state was told."""

    def __init__(self, charged_already: set[str]) -> None:
        super().__init__()
        self.charged_already = charged_already
        self.rows: list[list[object]] = []

    def sent(self, call: Call) -> None:
        """An attempt goes out."""
        super().sent(call)
        request = call.request
        first = call.sends == 1 and request.request_id not in self.charged_already
        self.rows.append([request.plan, request.customer, 1, request.units if first else 0.0])

    def ended(self, call: Call) -> None:
        """An attempt has ended."""
        self.rows.append([call.request.plan, call.request.customer, -1, 0.0])

    def take(self) -> list[list[object]]:
        """What was noted since the last time."""
        rows, self.rows = self.rows, []
        return rows


class Offer:
    """Answers a successor of this process, one at a time."""

    def __init__(self, edge: Edge, path: Path) -> None:
        self.edge, self.path = edge, path
        self.server: asyncio.Server | None = None
        self.talking: asyncio.Task[None] | None = None
        self.closing = asyncio.Event()

    async def open(self) -> Offer:
        """Listen, in place of whoever did under this name; OSError."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        fresh = self.path.with_name(f"{self.path.name}-{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                fresh.unlink()
            with Short(fresh) as name:
                sock.bind(name)
            fresh.chmod(0o600)
            sock.listen(1)
            fresh.replace(self.path)
            sock.setblocking(False)
            self.server = await self.edge.loop.create_unix_server(self._line, sock=sock)
        except OSError:
            sock.close()
            raise
        return self

    def _line(self) -> Line:
        return Line(lambda document: note_sent(self.edge.driver, document.get("ids")), self._begin)

    def _begin(self, line: Line) -> None:
        if self.talking is None:
            self.talking = self.edge.loop.create_task(self._successor(line))
        else:
            line.close()

    async def _successor(self, line: Line) -> None:
        try:
            await self._talk(line)
        except (FrameError, StateError, OSError, TimeoutError) as error:
            log.warning("the successor: %r", error)
        finally:
            self.talking, self.edge.driver.tap = None, None
            self.edge.budget.whole()
            self.edge.lifecycle.happens(Event.KEEP)
            line.close()

    async def _talk(self, line: Line) -> None:
        edge, driver = self.edge, self.edge.driver
        await line.expect("hello")
        if edge.lifecycle.state not in (State.READY, State.DRAINING):
            raise FrameError(f"asked while {edge.lifecycle.state.value}")
        names = {number: name for name, number in edge.discovery.roster.numbers.items()}
        now = driver.clock()
        sent = {"sent": driver.sent_requests.ages(now)}
        line.say(tell(driver.gateway, names, now) | {"list": edge.listed()} | sent)
        driver.tap = tap = Tap(pending(driver.gateway))
        await line.expect("took")
        edge.lifecycle.happens(Event.HAND)
        log.info("a successor accepts from now on")
        line.say({"kind": "go", "held": edge.budget.keep(HANDED_SPARE)})
        tap.listens(line)
        # The successor says only what it sends on; anything else is its end.
        ends = [asyncio.ensure_future(line.hear()), asyncio.ensure_future(self.closing.wait())]
        while not any(end.done() for end in ends):
            await asyncio.wait(ends, timeout=FLUSH_S, return_when=asyncio.FIRST_COMPLETED)
            rows, held = tap.take(), edge.budget.keep(HANDED_SPARE)
            if rows or held is not None:
                line.say({"kind": "charges", "rows": rows, "held": held})
        for end in ends:
            end.cancel()

    async def close(self) -> None:
        """Tell the last charges, and listen no more."""
        self.closing.set()
        if self.server:
            self.server.close()
        if self.talking:
            await asyncio.wait((self.talking,), timeout=STEP_S)


class TakeOver:
    """Asks the process before this one; afterwards ``edge`` knows what that knew and follows its charges."""

    def __init__(self, edge: Edge, path: Path) -> None:
        self.edge, self.path = edge, path
        self.following: asyncio.Task[None] | None = None
        self.tap = SentIds()

    async def ask(self) -> bool:
        """Whether a process before this one has handed over; if not, this one starts cold."""
        if not self.path.exists():
            return False  # the first one
        try:
            line = await self._connect()
            try:
                adopted = await self._take(line)
            except BaseException:
                line.close()
                raise
        except (FrameError, StateError, OSError, TimeoutError) as error:
            log.warning("nothing is taken over, this process starts cold: %r", error)
            self.edge.budget.lend_out(0.5)
            self.edge.loop.call_later(STALE_S, self.edge.budget.whole)
            return False
        self.following = asyncio.create_task(self._follow(line, adopted))
        return True

    async def _connect(self) -> Line:
        with Short(self.path) as name:
            async with asyncio.timeout(STEP_S):
                _, line = await self.edge.loop.create_unix_connection(self._line, name)
                return line

    def _line(self) -> Line:
        return Line(lambda document: note_sent(self.edge.driver, document.get("ids")))

    async def _take(self, line: Line) -> Adopted:
        edge, driver = self.edge, self.edge.driver
        line.say({"kind": "hello"})
        state = await line.expect("state")
        if not edge.heard:  # discovery has not spoken here: the list of the process before is the newest
            edge.discovery.told(state.get("list"))
        ages = state.get("sent")
        sent = None if ages is None else read_sent(ages)
        adopted = Adopted(driver.gateway, state, edge.discovery.roster.numbers, driver.clock())
        if sent is not None:
            adopt_sent(driver, sent)
        try:
            await self._let_go(line)
        except BaseException:
            adopted.ended()  # nobody tells any more when its attempts end
            raise
        if sent is not None:  # one that tells its own listens to ours
            driver.tap = self.tap
            self.tap.listens(line)
        log.info("taken over: %d customers", len(driver.gateway.meter.customers))
        return adopted

    async def _let_go(self, line: Line) -> None:
        """The process before accepts no more; what it keeps of the descriptors."""
        line.say({"kind": "took"})
        self._shares(await line.expect("go"))

    def _shares(self, document: Document) -> None:
        held = document.get("held")
        if type(held) is int and held >= 0:
            self.edge.budget.leave(held)

    async def _follow(self, line: Line, adopted: Adopted) -> None:
        """Until the process before has ended: what it still charges."""
        driver = self.edge.driver
        try:
            while (document := await line.hear()) is not None:
                adopted.charged(document.get("rows"), driver.clock())
                self._shares(document)
        except (FrameError, StateError, OSError) as error:
            log.warning("the process before tells nothing more: %r", error)
        finally:
            adopted.ended()
            if driver.tap is self.tap:
                driver.tap = None
            self.edge.budget.whole()
            line.close()

    def close(self) -> None:
        """Follow no more."""
        if self.following:
            self.following.cancel()


class Succession:
    """Both sides of one process's life: it takes over, serves, and hands over."""

    def __init__(self, edge: Edge, directory: Path, listen: str) -> None:
        self.edge, self.path = edge, socket_path(directory, listen)
        self.taking, self.offer = TakeOver(edge, self.path), Offer(edge, self.path)

    async def begin(self, accept: Callable[[], None]) -> None:
        """Take over, accept, and offer the same to the next one."""
        await self.edge.wait_ready()
        await self.taking.ask()
        accept()
        self.edge.take_up()
        try:
            await self.offer.open()
        except OSError as error:
            log.warning("no successor can ask this process: %r", error)

    async def close(self) -> None:
        """At the end of this process."""
        self.taking.close()
        await self.offer.close()

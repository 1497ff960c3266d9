"""The processes of a load: started together, their tallies added up; one that dies is told."""

from __future__ import annotations

import asyncio
import multiprocessing
import signal
import time
from dataclasses import dataclass
from multiprocessing.connection import Connection, wait
from typing import Any

from brackenloft.interface import Settings
from brackenloft.load.plan import Load
from brackenloft.load.tally import Tally, unpacked

READY_S = 30.0  # for a process to start: many times what a busy machine takes
LEAD_S = 0.2  # from the last process that is ready to the start, the same moment for all
OVER_S = 30.0  # beyond the last deadline, before a process that says nothing is given up


@dataclass(frozen=True, slots=True)
class Played:
    """What came of it, and what went wrong with the tool itself."""

    tally: Tally
    faults: tuple[str, ...]


def _process(pipe: Connection, load: Load, number: int, settings: Settings) -> None:
    """The main function of one process."""
    import uvloop

    from brackenloft.load.client import Crowd

    async def main() -> dict[str, Any]:
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for name in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(name, stop.set)
        pipe.send("ready")
        began: float = await loop.run_in_executor(None, pipe.recv)
        return (await Crowd(load, number, settings, began).run(stop)).packed()

    pipe.send(uvloop.run(main()))


def play(load: Load, settings: Settings) -> Played:
    """Run all processes to their end."""
    context = multiprocessing.get_context("spawn")
    started: dict[Connection, Any] = {}
    faults: list[str] = []
    for number in range(load.processes):
        ours, theirs = context.Pipe()
        process = context.Process(target=_process, args=(theirs, load, number, settings), daemon=True)
        process.start()
        theirs.close()
        started[ours] = process
    tally = Tally()
    try:
        ready = _gather(started, READY_S, faults)
        began = time.monotonic() + LEAD_S
        for pipe in ready:
            pipe.send(began)
        longest = max(kind.deadline_ms for kind in settings.classes) / 1000.0
        waiting = {pipe: started[pipe] for pipe in ready}
        for data in _gather(waiting, load.seconds() + longest + OVER_S, faults).values():
            tally.add(unpacked(data))
    except KeyboardInterrupt:  # the processes have had the signal too, and tell what they have
        for data in _gather(started, OVER_S, faults).values():
            if isinstance(data, dict):
                tally.add(unpacked(data))
        faults.append("interrupted")
    finally:
        for process in started.values():
            if process.is_alive():
                process.terminate()
            process.join()
    return Played(tally, tuple(faults))


def _gather(processes: dict[Connection, Any], within_s: float, faults: list[str]) -> dict[Connection, Any]:
    """One message of each process; those that die or say nothing are among the faults."""
    found: dict[Connection, Any] = {}
    left, ends = dict(processes), time.monotonic() + within_s
    while left:
        for pipe in wait(list(left), max(0.0, ends - time.monotonic())) or list(left):
            assert isinstance(pipe, Connection)
            process = left.pop(pipe)
            if not pipe.poll():
                faults.append(f"a process of clients said nothing for {within_s:.0f} s")
                continue
            try:
                found[pipe] = pipe.recv()
            except EOFError:
                process.join()
                faults.append(f"a process of clients ended with {process.exitcode}: its part is not counted")
    return found

"""``brackenloft load``: an open-loop load for gateways, in JSON lines; exits 3 if the tool fell behind."""

from __future__ import annotations

import json
import re
import sys
from pathlib import Path
from typing import Annotated

import typer

from brackenloft import config
from brackenloft.commands import run as run_app
from brackenloft.load import runner, tally
from brackenloft.load.plan import Load, LoadError, Share, Step, check

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
INCOMPLETE, WRONG, BEHIND = 1, 2, 3  # exit codes
STAGE = re.compile(r"([0-9.]+)x([0-9.]+)")


def stages(texts: list[str]) -> tuple[Step, ...]:
    """``RATExSECONDS``, one after the other."""
    found = []
    for text in texts:
        match = STAGE.fullmatch(text)
        try:
            if not match:
                raise ValueError
            found.append(Step(float(match[1]), float(match[2])))
        except ValueError:
            raise LoadError(f"--stage: not RATExSECONDS: {text!r:.60}") from None
    return tuple(found)


def shares(option: str, texts: list[str], names: list[str]) -> tuple[Share, ...]:
    """``NAME`` or ``NAME=WEIGHT``; without any, all alike."""
    found = []
    for text in texts or names:
        name, _, weight = text.partition("=")
        try:
            found.append(Share(name, float(weight or "1")))
        except ValueError:
            raise LoadError(f"--{option}: not NAME=WEIGHT: {text!r:.60}") from None
    return tuple(found)


@app.command()
def load(
    file: Annotated[Path, typer.Option("--config", help="the gateway's own file: classes, plans, address")],
    at: Annotated[list[str] | None, typer.Option(help="HOST:PORT of a gateway; may be repeated")] = None,
    stage: Annotated[list[str] | None, typer.Option(help="RATExSECONDS; may be repeated")] = None,
    kind: Annotated[list[str] | None, typer.Option("--class", help="NAME=WEIGHT; may be repeated")] = None,
    plan: Annotated[list[str] | None, typer.Option(help="NAME=WEIGHT; may be repeated")] = None,
    customers: int = 100,
    processes: int = 1,
    connections: Annotated[int, typer.Option(help="of each process")] = 64,
    seed: int = 1,
    even: Annotated[bool, typer.Option("--even", help="equal gaps in place of a Poisson stream")] = False,
    wait_ms: Annotated[float, typer.Option(help="of each request; 0: its class's deadline")] = 0.0,
    body: Annotated[int, typer.Option(help="bytes of what is posted")] = 64,
    out: Annotated[Path | None, typer.Option(help="JSON lines: one a second, the summary last")] = None,
) -> None:
    """Ask at the times that the rate says, whatever becomes of the answers; the summary is one JSON line."""
    try:
        read = config.load(file)
        settings = read.settings
        addresses = tuple(config.address(text, "--at") for text in at or []) or (read.listen,)
        wanted = check(
            Load(
                addresses,
                stages(stage or ["100x10"]),
                shares("class", kind or [], [item.name for item in settings.classes]),
                shares("plan", plan or [], [item.name for item in settings.plans]),
                customers,
                processes,
                connections,
                seed,
                even,
                wait_ms,
                body,
            ),
            settings,
        )
    except (LoadError, config.ConfigError) as error:
        print(f"brackenloft load: {error}", file=sys.stderr)
        raise typer.Exit(WRONG) from None
    played = runner.play(wanted, settings)
    last = tally.summary(played.tally, wanted.seconds(), processes)
    lines = [json.dumps(row) for row in (*tally.rows(played.tally), last)]
    if out:
        out.write_text("\n".join(lines) + "\n")
    print(lines[-1])
    for fault in played.faults:
        print(f"brackenloft load: {fault}", file=sys.stderr)
    if last["why"]:
        print(f"brackenloft load: fell behind: {last['why']}", file=sys.stderr)
    if played.faults:
        raise typer.Exit(INCOMPLETE)
    raise typer.Exit(BEHIND if last["fell_behind"] else 0)


def main(arguments: list[str]) -> int:
    """Run it; its exit code."""
    return run_app(app, "brackenloft load", arguments)

"""``brackenloft config``: check, publish, status.

Exits 0 where it was done, 1 where it was not (it says why), 2 for a wrong file or option.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, NoReturn, TypeVar

import typer

from brackenloft.commands import run as run_app

if TYPE_CHECKING:  # imported where they are used, so that --help is quick
    from brackenloft.configuration.client_config import ClientConfig
    from brackenloft.configuration.document_file import Content
    from brackenloft.configuration.messages import Fault
    from brackenloft.configuration.model import Delta
    from brackenloft.configuration.operator_client import Document, OperatorClient
    from brackenloft.configuration.publish_report import PublishReport

app = typer.Typer(
    help=__doc__,
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
NOT_DONE, WRONG = 1, 2
Result = TypeVar("Result")
Source = Annotated[Path, typer.Argument(help="a whole document, or a change with its base; TOML, or *.json")]
Servers = Annotated[Path, typer.Option("--config", help="the file of control servers, as gateways have it")]
Json = Annotated[bool, typer.Option("--json", help="one JSON object, for scripts")]


@app.command()
def check(
    file: Source,
    config: Annotated[
        Path | None, typer.Option(help="the file of control servers: a change is checked against what stands")
    ] = None,
    as_json: Json = False,
) -> None:
    """Say every fault of a file, each with its path. Nothing is published."""
    from brackenloft.configuration.model import Delta
    from brackenloft.configuration.validation import document_faults

    content = _content(file, as_json)
    if not isinstance(content, Delta):
        _tell_check(file, document_faults(content), as_json)
    elif config is not None:
        standing = _ask(config, lambda client: client.standing())
        _tell_check(file, _change_faults(standing, content), as_json)
    else:
        _end(WRONG, "a change is checked against the document that stands: --config is missing")


@app.command()
def publish(
    file: Source,
    config: Servers,
    author: Annotated[str, typer.Option(help="who publishes it, for people")] = "",
    note: Annotated[str, typer.Option(help="why, for people")] = "",
    as_json: Json = False,
) -> None:
    """Publish a change, or a whole document: what differs in it from what stands."""
    from brackenloft.configuration import publish_report
    from brackenloft.configuration.messages import Invalid, PublishRequest
    from brackenloft.configuration.model import Delta
    from brackenloft.configuration.validation import document_faults

    content = _content(file, as_json)
    faults = () if isinstance(content, Delta) else document_faults(content)

    async def carry_out(client: OperatorClient) -> PublishReport:
        if isinstance(content, Delta):
            delta = content
        else:
            standing = await client.standing()
            delta = _change_to(standing, content)
            if delta == Delta(standing.revision):
                return publish_report.unchanged(standing.revision, standing.tree)
        return publish_report.published(await client.publish(PublishRequest(delta, author, note)))

    told = publish_report.published(Invalid(faults)) if faults else _ask(config, carry_out)
    _say(told, as_json, publish_report.publish_lines(told))
    if not told.done:
        raise typer.Exit(NOT_DONE)


@app.command()
def status(
    config: Servers,
    revision: Annotated[int | None, typer.Option(min=0, help="of this one; the newest by default")] = None,
    as_json: Json = False,
) -> None:
    """Tell how far a revision has come: published, in force in each region, in force everywhere."""
    from brackenloft.configuration import status_report
    from brackenloft.configuration.status_report import ServerReport

    statuses, unanswered = _ask(config, lambda client: client.statuses())
    silent = [
        ServerReport(row.server, row.region, None, None, f"no answer: {row.reason}") for row in unanswered
    ]
    if not statuses:
        _end(
            NOT_DONE,
            "no control server answered: " + ", ".join(f"{row.server} ({row.why})" for row in silent),
        )
    told = status_report.report(statuses, silent, time.time(), revision)
    _say(told, as_json, status_report.lines(told))


def main(arguments: list[str]) -> int:
    """Run a subcommand; its exit code."""
    return run_app(app, "brackenloft config", arguments)


def _content(file: Path, as_json: bool) -> Content:
    """A file's document or change; ends the command where it is none."""
    from brackenloft.configuration import document_file

    try:
        return document_file.load(file)
    except document_file.UnreadableFile as error:
        _end(WRONG, str(error))
    except document_file.FaultyFile as error:
        _tell_check(file, error.faults, as_json)
        raise


def _tell_check(file: Path, faults: tuple[Fault, ...], as_json: bool) -> None:
    """Say what is wrong with a file; ends the command if anything is."""
    from brackenloft.configuration.publish_report import CheckReport, check_lines

    told = CheckReport(str(file), not faults, faults)
    _say(told, as_json, check_lines(told))
    if faults:
        raise typer.Exit(NOT_DONE)


def _change_faults(standing: Document, delta: Delta) -> tuple[Fault, ...]:
    """What is wrong with a change of the document that stands."""
    from brackenloft.configuration.messages import Fault
    from brackenloft.configuration.validation import faults

    found = faults(standing.tree, delta)
    if delta.base == standing.revision:
        return found
    return Fault("base", f"revision {delta.base}, and {standing.revision} stands"), *found


def _change_to(standing: Document, content: Content) -> Delta:
    """The change from what stands to a whole document."""
    from brackenloft.configuration.builder import apply
    from brackenloft.configuration.model import FIRST_REVISION, Delta, Items
    from brackenloft.configuration.tree import Tree, difference

    assert isinstance(content, Items)
    wanted = apply(Tree.empty(), Delta(FIRST_REVISION, content))
    return difference(standing.tree, wanted, standing.revision)


def _ask(config: Path, work: Callable[[OperatorClient], Awaitable[Result]]) -> Result:
    """Carry out calls to the control servers of a file; ends the command where none answers."""
    from brackenloft.configuration.operator_client import NoServer, OperatorClient, TooLong

    servers = _servers(config).servers

    async def carry_out() -> Result:
        async with OperatorClient(servers) as client:
            return await work(client)

    try:
        return asyncio.run(carry_out())
    except NoServer as error:
        _end(NOT_DONE, f"no control server answered: {error}")
    except TooLong as error:
        _end(NOT_DONE, str(error))


def _servers(config: Path) -> ClientConfig:
    from brackenloft.config import ConfigError
    from brackenloft.configuration import client_config

    try:
        return client_config.load(config)
    except ConfigError as error:
        _end(WRONG, str(error))


def _say(told: object, as_json: bool, lines: Iterable[str]) -> None:
    import msgspec

    print(msgspec.json.encode(told).decode() if as_json else "\n".join(lines))


def _end(code: int, reason: str) -> NoReturn:
    print(f"brackenloft config: {reason}", file=sys.stderr)
    raise typer.Exit(code)

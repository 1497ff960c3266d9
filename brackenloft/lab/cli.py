"""``brackenloft lab``: run, replay, compare, shrink, report, list, explore."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from rich.console import Console
from rich.progress import track
from rich.table import Table

from brackenloft import interface as api
from brackenloft.commands import run as run_app
from brackenloft.lab import compare as comparing
from brackenloft.lab import explore as searching
from brackenloft.lab import report as reporting
from brackenloft.lab import runner, spec
from brackenloft.lab import shrink as shrinking
from brackenloft.lab.spec import Experiment, ExperimentError
from brackenloft.lab.world import World
from brackenloft.policy import Gateway

app = typer.Typer(help=__doc__, no_args_is_help=True, add_completion=True, pretty_exceptions_enable=False)
BROKEN, WRONG = 1, 2  # exit codes: a rule was broken; what was asked for can't be done
SHOWN = reporting.COLUMNS[:-1]  # all but the rules broken, which are counted and not averaged
File = Annotated[Path, typer.Argument(help="a TOML file, or a name on the shelf")]
Json = Annotated[bool, typer.Option("--json", help="one JSON line a result, for scripts")]
MOST_PATHS = 5  # printed: the others say the same
PLAIN_WIDTH = 170  # of tables that go to a file or a pipe: no column is cut
Workers = Annotated[int, typer.Option(help="processes; 0 for one a core")]


def _console() -> Console:
    return Console(width=None if sys.stdout.isatty() else PLAIN_WIDTH)


def _load(file: Path) -> tuple[Experiment, str]:
    try:
        return spec.load(file)
    except ExperimentError as error:
        raise _wrong(error) from None


def _wrong(error: object) -> typer.Exit:
    print(f"brackenloft lab: {error}", file=sys.stderr)
    return typer.Exit(WRONG)


def _table(rows: list[dict[str, Any]]) -> Table:
    """Means over seeds, a line for each policy and point."""
    table = Table("policy", "point", "seeds", *SHOWN, "rules broken")
    groups: dict[tuple[str, str], list[dict[str, Any]]] = {}
    for row in rows:
        point = ", ".join(f"{key}={value}" for key, value in row["point"].items())
        groups.setdefault((row["policy"], point), []).append(row)
    for (policy, point), group in sorted(groups.items()):
        means = [sum(row["figures"][name] for row in group) / len(group) for name in SHOWN]
        broken = sum(row["figures"]["rules_broken"] for row in group)
        table.add_row(policy, point, str(len(group)), *(f"{value:.3f}" for value in means), f"{broken:.0f}")
    return table


def _sweep(
    file: Path, seeds: int, policies: list[str], workers: int, out: Path | None, shown: bool
) -> list[dict[str, Any]]:
    experiment, file_hash = _load(file)
    changes: dict[str, Any] = {}
    if seeds:
        changes["seeds"] = list(range(1, seeds + 1))
    if policies:
        changes["policies"] = policies
    try:
        experiment = msgspec.structs.replace(experiment, **changes)
        wanted = runner.runs(experiment, file_hash)
        rows = runner.sweep(wanted, out, workers)
        if shown:
            return list(track(rows, experiment.name, len(wanted), console=Console(stderr=True)))
        return list(rows)
    except ExperimentError as error:
        raise _wrong(error) from None


@app.command("run")
def run_file(
    file: File,
    seeds: Annotated[int, typer.Option(help="seeds 1 to so many, in place of the file's")] = 0,
    policy: Annotated[list[str] | None, typer.Option(help="in place of the file's; may be repeated")] = None,
    workers: Workers = 0,
    out: Annotated[
        Path | None, typer.Option(help="JSON lines; runs that it holds are not played again")
    ] = None,
    as_json: Json = False,
    real: Annotated[
        bool, typer.Option("--real", help="on gateway processes over loopback, beside virtual time")
    ] = False,
) -> None:
    """Play an experiment on all cores; exits 1 if a rule was broken."""
    if real:
        _run_real(file, seeds, policy or [], workers, as_json)
    rows = _sweep(file, seeds, policy or [], workers, out, not as_json)
    if as_json:
        for row in rows:
            print(msgspec.json.encode(row).decode())
    else:
        _console().print(_table(rows))
    for row in rows:
        for line in row["broken"]:
            print(f"{row['policy']} seed {row['seed']}: {line}", file=sys.stderr)
    raise typer.Exit(BROKEN if any(row["rules"] for row in rows if row["policy"] == "ours") else 0)


def _run_real(file: File, seeds: int, policies: list[str], workers: int, as_json: bool) -> None:
    """On sockets, each seed beside the same one in the world; never returns."""
    from brackenloft.lab.real import beside, limits

    experiment, _ = _load(file)
    try:
        if any(name != "ours" for name in policies):
            raise ExperimentError("policy: gateway processes have none but ours")
        variants = [variant for _, variant in spec.variants(experiment)]
        for variant in variants:
            limits.check(variant)
        numbers = list(range(1, seeds + 1)) or experiment.seeds
        rows = list(beside.sweep([(variant, seed) for variant in variants for seed in numbers], workers))
    except ExperimentError as error:
        raise _wrong(error) from None
    for row in rows:
        if as_json:
            print(msgspec.json.encode(row).decode())
            continue
        gap = f"served {row['served_points']:.2f} points and median {row['median_percent']:.1f}% apart"
        title = f"{row['name']} seed {row['seed']}: {row['verdict']}, {gap}"
        table = Table("figure", "sockets", "world", title=title)
        for name in beside.FIGURES:
            table.add_row(name, f"{row['real'][name]:.4f}", f"{row['world'][name]:.4f}")
        _console().print(table)
    for row in rows:
        for line in row["broken"]:
            print(f"{row['name']} seed {row['seed']}: {line}", file=sys.stderr)
    raise typer.Exit(BROKEN if any(row["rules"] for row in rows) else 0)


@app.command()
def replay(
    file: File,
    seed: int,
    policy: Annotated[str, typer.Option()] = "ours",
    as_json: Json = False,
) -> None:
    """Play one run again and tell its trace's digest, figures and broken rules."""
    experiment, file_hash = _load(file)
    try:
        row = runner.play(
            runner.runs(msgspec.structs.replace(experiment, seeds=[seed], policies=[policy]), file_hash)[0]
        )
    except ExperimentError as error:
        raise _wrong(error) from None
    if as_json:
        print(msgspec.json.encode(row).decode())
        return
    print(f"trace {row['trace']}")
    _console().print(_table([row]))
    print(*row["broken"], sep="\n")


@app.command()
def compare(
    file: File,
    a: str,
    b: str,
    seeds: Annotated[int, typer.Option()] = 10,
    workers: Workers = 0,
    as_json: Json = False,
) -> None:
    """Two policies on the same seeds, with bootstrap intervals."""
    rows = _sweep(file, seeds, [a, b], workers, None, not as_json)
    pairs = comparing.pairs_of(rows, a, b)
    table = Table("figure", a, b, "b - a", "95%", "")
    for name in SHOWN:
        found = comparing.difference(name, pairs)
        if as_json:
            print(
                msgspec.json.encode(
                    {
                        "figure": name,
                        "a": found.a,
                        "b": found.b,
                        "mean": found.mean,
                        "low": found.low,
                        "high": found.high,
                        "seen": found.seen(),
                    }
                ).decode()
            )
        table.add_row(
            name,
            f"{found.a:.4f}",
            f"{found.b:.4f}",
            f"{found.mean:+.4f}",
            f"{found.low:+.4f} to {found.high:+.4f}",
            found.verdict(),
        )
    if not as_json:
        _console().print(table)


@app.command()
def shrink(file: File, seed: int, policy: Annotated[str, typer.Option()] = "ours") -> None:
    """Cut a run that breaks a rule down to the least that still does; prints it as TOML."""
    experiment, _ = _load(file)
    try:
        make = runner.POLICIES[policy]
    except KeyError:
        raise _wrong(f"policy: {policy!r} is none of {', '.join(runner.POLICIES)}") from None

    def fails(candidate: Experiment) -> bool:
        return bool(World(candidate, make(), seed).run().oracle.rules)

    try:
        small, tries = shrinking.shrink(experiment, fails)
    except ValueError as error:
        raise _wrong(error) from None
    print(f"# after {tries} runs, seed {seed}")
    print(msgspec.toml.encode(msgspec.structs.replace(small, seeds=[seed], policies=[policy])).decode())


@app.command()
def report(
    results: Annotated[Path, typer.Argument(help="JSON lines of lab run")],
    out: Annotated[Path, typer.Option(help="the page to write")] = Path("lab.html"),
) -> None:
    """One page of a sweep: table, served worth, refusals, latency, use over time with the marks of faults."""
    rows = list(runner.read_results(results).values())
    if not rows:
        raise _wrong(f"{results}: no results of version {runner.VERSION}")
    out.write_text(reporting.page(rows))
    print(out)


@app.command()
def explore(
    effects: Annotated[list[api.Effect], typer.Argument(help="of each request of the small world, in order")],
    depth: Annotated[int, typer.Option(min=1, help="events of a path")] = searching.DEPTH,
    most: Annotated[int, typer.Option(min=1, help="states after which it ends")] = searching.MOST_STATES,
) -> None:
    """Every legal order of events in a small world; prints the shortest paths that break a rule."""
    found = searching.explore(Gateway, tuple(effects), depth, most)
    whole = "all of them" if found.whole else "ended there"
    print(f"{found.states} states to depth {found.depth}, {whole}; {len(found.broken)} paths break a rule")
    for wrong, path in found.broken[:MOST_PATHS]:
        print(f"{wrong}: {' > '.join(' '.join(map(str, step)) for step in path)}")
    raise typer.Exit(BROKEN if found.broken else 0)


@app.command("list")
def list_shelf() -> None:
    """The experiments that come with the program."""
    table = Table("name", "about", "faults")
    for path in spec.shelf():
        experiment, _ = _load(path)
        table.add_row(
            experiment.name, experiment.about, ", ".join(sorted({f.kind for f in experiment.faults}))
        )
    _console().print(table)


def main(arguments: list[str]) -> int:
    """Run a command of the lab; its exit code."""
    return run_app(app, "brackenloft lab", arguments)

"""What operators are told of a revision: published, in force in each region, in force everywhere. Pure.

What is in force is decided by ``roster``; here it is put into words and into one object for scripts.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from datetime import UTC, datetime

import msgspec

from brackenloft.configuration.messages import Confirmation, ServerStatus
from brackenloft.configuration.roster import Progress, View, progress

OLD_AFTER_MS = 3_000.0  # since a majority of stores was heard: what stands may be newer
MOST_SILENT_S = 10 * 365 * 86_400.0  # that is told; a server that says more is not believed
MOST_LINES = 20  # of gateways of one kind


class RegionReport(msgspec.Struct, frozen=True):
    """``in_force`` of ``processes`` of gateways in a region have the revision, or a later one, in force."""

    region: str
    in_force: int
    processes: int


class GatewayReport(msgspec.Struct, frozen=True):
    """A process of a gateway that has not confirmed the revision.

    ``revision`` is what it confirmed last, and ``since`` when (UTC). If it is cut off it may serve a later
    one by now.
    """

    gateway: str
    run: str
    region: str
    zone: str
    revision: int
    since: str
    silent_s: float
    cut_off: bool


class ServerReport(msgspec.Struct, frozen=True):
    """A control server; ``why`` it does not count among those that say what is in force, if so."""

    server: str
    region: str
    standing: int | None
    verified_ms: float | None
    why: str = ""


class Report(msgspec.Struct, frozen=True):
    """How far a revision has come. ``newest``: the last revision that is published.

    ``servers_counted`` are those that answered and know all that they should; ``everywhere`` is only told if
    they are ``servers_needed`` at least.
    """

    revision: int
    newest: int
    published: bool
    everywhere: bool
    verified_ms: float
    regions: tuple[RegionReport, ...]
    behind: tuple[GatewayReport, ...]
    servers: tuple[ServerReport, ...]
    servers_counted: int
    servers_needed: int


def copies_of(servers: int) -> int:
    """How many control servers hold each record and each process of a gateway: a majority."""
    return servers // 2 + 1


def report(
    statuses: Sequence[ServerStatus],
    unanswered: Sequence[ServerReport],
    now_s: float,
    revision: int | None = None,
) -> Report:
    """Merge what control servers told. ``now_s`` is Unix time; ``revision``: the newest by default.

    There are as many control servers as were asked, or more if one of them says so: a file that names a part
    of them must not make fewer answers enough.
    """
    view = View.of_all(statuses)
    wanted = view.standing if revision is None else revision
    asked = len(statuses) + len(unanswered)
    servers = max([asked, *(status.servers for status in statuses)])
    found = progress(view, wanted, servers, copies_of(servers))
    verified = [status.verified_ms for status in statuses if status.standing == view.standing]
    return Report(
        revision=wanted,
        newest=view.standing,
        published=found.published,
        everywhere=found.everywhere,
        verified_ms=min(verified, default=0.0),
        regions=tuple(RegionReport(row.region, row.in_force, row.runs) for row in found.regions),
        behind=_behind(found, now_s),
        servers=(*(_server(status, wanted) for status in statuses), *unanswered),
        servers_counted=found.servers_counted,
        servers_needed=found.servers_needed,
    )


def _behind(found: Progress, now_s: float) -> tuple[GatewayReport, ...]:
    cut_off = set(found.cut_off)
    return tuple(_gateway(run, now_s, run in cut_off) for run in found.behind)


def _gateway(run: Confirmation, now_s: float, cut_off: bool) -> GatewayReport:
    silent_s = run.silent_ms / 1000.0
    if not 0.0 <= silent_s <= MOST_SILENT_S:  # also no number at all
        silent_s = MOST_SILENT_S
    since = datetime.fromtimestamp(now_s - silent_s, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    who = run.follower
    return GatewayReport(
        who.gateway, who.run, who.region, who.zone, run.in_force, since, round(silent_s, 1), cut_off
    )


def _server(status: ServerStatus, revision: int) -> ServerReport:
    why = ""
    if not status.complete:
        why = "came up without its disk, and has not learned of all gateways yet"
    elif status.standing < revision:
        why = f"knows of revision {status.standing} alone"
    return ServerReport(status.server, status.region, status.standing, status.verified_ms, why)


def lines(told: Report) -> Iterator[str]:
    """The report for people."""
    yield f"published {told.revision}" if told.published else f"revision {told.revision} is not published"
    if told.newest > told.revision:
        yield f"the newest is {told.newest}"
    if told.verified_ms > OLD_AFTER_MS:
        ago_s = told.verified_ms / 1000.0
        yield f"no majority of stores was heard for {ago_s:.0f} s: a newer revision may be published"
    for row in told.regions:
        yield f"in force in region {row.region or '(none)'} at {row.in_force} of {row.processes}"
    yield from _gateway_lines([row for row in told.behind if row.cut_off])
    yield from _gateway_lines([row for row in told.behind if not row.cut_off])
    for server in told.servers:
        if server.why:
            yield f"control server {server.server}: {server.why}"
    yield _conclusion(told)


def _gateway_lines(rows: Sequence[GatewayReport]) -> Iterator[str]:
    for row in rows[:MOST_LINES]:
        where = f"gateway {row.gateway} in region {row.region or '(none)'}"
        if row.cut_off:
            yield (
                f"cut off: {where} since {row.since} ({row.silent_s:.0f} s), "
                f"serving revision {row.revision} or a later one"
            )
        else:
            yield f"not yet: {where} has revision {row.revision} in force"
    if len(rows) > MOST_LINES:
        yield f"and {len(rows) - MOST_LINES} more"


def _conclusion(told: Report) -> str:
    if told.everywhere:
        return "in force everywhere"
    if not told.published:
        return "in force nowhere"
    cut_off = sum(row.cut_off for row in told.behind)
    if told.behind:
        return f"not in force everywhere: {len(told.behind)} behind, {cut_off} of them cut off"
    return (
        "not known to be in force everywhere: "
        f"{told.servers_counted} control servers count, {told.servers_needed} are needed"
    )

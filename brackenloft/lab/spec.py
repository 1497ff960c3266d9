"""Experiments as checked data: world, load, a timeline of faults, a grid, seeds, policies.

One TOML file names all of it. Unknown keys, wrong types and faults on what does not exist are told in one
line with the path of the key (msgspec). Times are milliseconds, rates units or requests a second.
"""

from __future__ import annotations

import hashlib
import itertools
from pathlib import Path
from typing import Annotated, Any

import msgspec

from brackenloft import interface as api

Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Natural = Annotated[float, msgspec.Meta(ge=0.0)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Count = Annotated[int, msgspec.Meta(ge=1)]

MOST_REQUESTS = 2_000_000  # first tries of one run: some minutes of one core
MOST_RUNS = 10_000  # of one file: grid x seeds x policies
MOST_DEPTH = 4  # of files that extend one another
SHELF = Path(__file__).parent / "experiments"
KINDS = (
    "crash",
    "silent",
    "slow",
    "errors",
    "drain",
    "start",
    "cut",
    "late_lists",
    "late_meter",
    "gateway_crash",
    "rush",
)


class ExperimentError(ValueError):
    """An experiment that can't be run; the text names the key."""


class Class(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A class of requests and its work at a node of speed 1: exponential about ``work_ms`` beyond a third of
    it.
    """

    name: str
    aim_ms: Positive
    deadline_ms: Positive
    effect: api.Effect = api.Effect.SAFE
    share: Positive = 1.0
    work_ms: Positive = 20.0
    worth: Positive = 1.0
    units: Positive = 1.0
    key_scope: api.KeyScope = api.KeyScope.ALL
    key_memory_ms: Natural = 6000.0


class PlanSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A plan, its customers and how they ask: ``calm`` and ``heavy`` are multiples of the rate.

    ``full``: the share of customers that use nearly all; ``heavy``: that ask ``heavy_x`` times the rate all
    along; ``spiky``: that ask ``spike_x`` times the rate for ``spike_ms`` in every ``spike_every_ms``.
    """

    name: str
    rate: Positive
    burst: Positive
    customers: Count
    price: Positive = 1.0
    over_worth: Natural = 0.0
    over_cost: Natural = 0.0
    max_in_flight: Annotated[int, msgspec.Meta(ge=0)] = 0
    ceiling_rate: Natural = 0.0
    ceiling_burst: Natural = 0.0
    ceiling_slack: Natural = 0.0
    calm: Natural = 0.35
    full: Share = 0.15
    heavy: Share = 0.08
    heavy_x: Positive = 3.0
    spiky: Share = 0.15
    spike_x: Positive = 5.0
    spike_ms: Positive = 2000.0
    spike_every_ms: Positive = 15_000.0


class Nodes(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The fleet. ``places`` requests are worked on at once; ``queue`` more may wait; then full."""

    count: Count = 8
    zones: Count = 2
    places: Count = 4
    queue: Annotated[int, msgspec.Meta(ge=0)] = 40
    speed_spread: Share = 0.2
    cold_share: Annotated[float, msgspec.Meta(gt=0.0, le=1.0)] = 0.25
    warm_up_ms: Natural = 10_000.0
    tip_multiple: Positive = 3.0
    tip_window_ms: Positive = 2000.0
    report_ms: Positive = 400.0
    stops_cancelled: bool = True


class Network(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One way times; ``jitter`` is a share of them."""

    same_ms: Positive = 0.2
    cross_ms: Positive = 1.0
    client_ms: Positive = 0.6
    jitter: Share = 0.2
    connect_timeout_ms: Positive = 250.0


class Gateways(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The gateways and the front: customers come in through ``width`` in a row, unevenly by ``skew``."""

    count: Count = 4
    width: Count = 3
    skew: Natural = 1.2
    shift_ms: Positive = 12_000.0
    notice_ms: Natural = 2000.0
    restart_ms: Natural = 1500.0


class Clients(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """How clients try again: so often, after a wait that doubles; ``heeds``: the share that heeds advice.

    ``leaves``: the share of tries whose client closes its connection at some moment before its time is up.
    """

    retries: Annotated[int, msgspec.Meta(ge=0, le=10)] = 1
    wait_ms: Positive = 200.0
    heeds: Share = 0.7
    patience: Share = 0.8
    leaves: Share = 0.0


class Told(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What gateways learn late: lists, and the use of a customer in the last period."""

    list_ms: Natural = 1500.0
    meter_ms: Natural = 1000.0
    meter_late_ms: Natural = 700.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Something that goes wrong from ``at_ms`` on. ``on``: numbers of nodes, gateways or zones."""

    kind: str
    at_ms: Natural
    for_ms: Natural = 0.0
    on: tuple[int, ...] = ()
    size: Natural = 1.0
    class_name: str = ""


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """All of it."""

    name: str
    about: str = ""
    length_ms: Positive = 20_000.0
    warm_ms: Natural = 1000.0
    settle_ms: Natural = 0.0
    seeds: Annotated[list[int], msgspec.Meta(min_length=1)] = msgspec.field(default_factory=lambda: [1])
    policies: Annotated[list[str], msgspec.Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: ["ours"]
    )
    load: Positive = 1.0
    nodes: Nodes = Nodes()
    network: Network = Network()
    gateways: Gateways = Gateways()
    clients: Clients = Clients()
    told: Told = Told()
    classes: Annotated[list[Class], msgspec.Meta(min_length=1)]
    plans: Annotated[list[PlanSpec], msgspec.Meta(min_length=1)]
    faults: list[Fault] = []
    grid: dict[str, list[Any]] = {}

    def __post_init__(self) -> None:
        customers = sum(plan.customers for plan in self.plans)
        limits = {"gateway_crash": self.gateways.count, "cut": self.nodes.zones, "rush": customers}
        for number, fault in enumerate(self.faults):
            path = f"faults[{number}]"
            if fault.kind not in KINDS:
                raise ValueError(f"{path}.kind: {fault.kind!r} is none of {', '.join(KINDS)}")
            most = limits.get(fault.kind, self.nodes.count)
            if any(not 0 <= one < most for one in fault.on):
                raise ValueError(f"{path}.on: {fault.kind} knows 0 to {most - 1} here, not {list(fault.on)}")
            if fault.at_ms >= self.length_ms:
                raise ValueError(f"{path}.at_ms: {fault.at_ms:g} is past the end, {self.length_ms:g}")
            if fault.class_name and fault.class_name not in [item.name for item in self.classes]:
                raise ValueError(f"{path}.class_name: there is no class {fault.class_name!r}")
        if self.gateways.width > self.gateways.count:
            raise ValueError(f"gateways.width: {self.gateways.width} is more than there are")
        expected = self.expected_per_s() * self.length_ms / 1000.0
        if expected > MOST_REQUESTS:
            raise ValueError(f"length_ms: about {expected:.0f} requests, {MOST_REQUESTS} at most")

    def expected_per_s(self) -> float:
        """First tries a second, about."""
        units = sum(item.units * item.share for item in self.classes) / sum(
            item.share for item in self.classes
        )
        return sum(plan.customers * plan.rate for plan in self.plans) * self.load / units

    def settings(self, index: int) -> api.Settings:
        """What gateway ``index`` is told."""
        nodes = self.nodes
        return api.Settings(
            gateways=self.gateways.count,
            index=index,
            zone=zone(index % nodes.zones),
            classes=tuple(
                api.RequestClass(
                    item.name,
                    item.aim_ms,
                    item.deadline_ms,
                    item.effect,
                    item.worth,
                    key_scope=item.key_scope,
                    key_memory_ms=item.key_memory_ms,
                )
                for item in self.classes
            ),
            plans=tuple(
                api.Plan(
                    item.name,
                    item.rate,
                    item.burst,
                    item.max_in_flight,
                    item.price,
                    item.over_worth,
                    item.over_cost,
                    item.ceiling_rate,
                    item.ceiling_burst,
                    item.ceiling_slack,
                )
                for item in self.plans
            ),
            limits=api.Limits(
                max_attempts=3,
                can_cancel=True,
                can_advise_retry=True,
                max_retry_after_ms=3000.0,
                connect_timeout_ms=self.network.connect_timeout_ms,
            ),
            contract=api.Contract(
                8.0, 1000.0, nodes.cold_share, nodes.warm_up_ms, nodes.tip_multiple, nodes.tip_window_ms
            ),
            load_fields=("utilisation", "queue"),
            meter_period_ms=self.told.meter_ms,
            largest_units=max(item.units for item in self.classes),
            tick_ms=1.0,
            cross_zone_price=0.005,
        )


def zone(number: int) -> str:
    """The name of a zone."""
    return f"zone-{number}"


def read(text: str, base: dict[str, Any] | None = None) -> Experiment:
    """An experiment from TOML, over a base if one is given; ExperimentError names what is wrong, with its
    path.
    """
    try:
        document = msgspec.toml.decode(text)
        document.pop("extends", None)
        return msgspec.convert(_over(base or {}, document), Experiment, strict=False)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise ExperimentError(str(error).replace("Object contains unknown field", "unknown key")) from None


def _over(base: dict[str, Any], document: dict[str, Any]) -> dict[str, Any]:
    """Tables are merged, all else is replaced."""
    merged = dict(base)
    for key, value in document.items():
        old = merged.get(key)
        merged[key] = _over(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return merged


def _base(path: Path, text: str, depth: int = 0) -> tuple[dict[str, Any], str]:
    """What a file extends, a name beside it or on the shelf, and the text of all of it."""
    try:
        name = msgspec.toml.decode(text).get("extends")
    except msgspec.DecodeError as error:
        raise ExperimentError(f"{path}: {error}") from None
    if name is None:
        return {}, ""
    if depth >= MOST_DEPTH or not isinstance(name, str):
        raise ExperimentError(f"{path}: extends: {name!r} goes on without end, or is no name")
    found = next((one for folder in (path.parent, SHELF) if (one := folder / f"{name}.toml").exists()), None)
    if found is None:
        raise ExperimentError(f"{path}: extends: there is no {name}.toml beside it or on the shelf")
    own = found.read_text()
    below, texts = _base(found, own, depth + 1)
    document = msgspec.toml.decode(own)
    document.pop("extends", None)
    return _over(below, document), texts + own


def load(path: Path) -> tuple[Experiment, str]:
    """The experiment of a file, or of a name on the shelf, and the hash that its results carry."""
    if not path.exists() and (SHELF / f"{path}.toml").exists():
        path = SHELF / f"{path}.toml"
    try:
        text = path.read_text()
    except OSError as error:
        raise ExperimentError(f"{path}: {error.strerror}") from None
    base, texts = _base(path, text)
    return read(text, base), hashlib.sha256((texts + text).encode()).hexdigest()[:12]


def shelf() -> list[Path]:
    """The experiments that come with the program."""
    return sorted(SHELF.glob("*.toml"))


def variants(experiment: Experiment) -> list[tuple[dict[str, Any], Experiment]]:
    """One experiment for each point of the grid; a key is a path as in ``gateways.count``."""
    keys, found = list(experiment.grid), []
    for values in itertools.product(*experiment.grid.values()):
        document = msgspec.to_builtins(experiment)
        document["grid"] = {}
        for key, value in zip(keys, values, strict=True):
            *path, last = key.split(".")
            place = document
            for part in path:
                place = place[int(part)] if isinstance(place, list) else place.get(part, {})
            if not isinstance(place, dict) or last not in place:
                raise ExperimentError(f"grid: there is no key {key}")
            place[last] = value
        try:
            variant = msgspec.convert(document, Experiment, strict=False)
        except msgspec.ValidationError as error:
            raise ExperimentError(f"grid: {error}") from None
        found.append((dict(zip(keys, values, strict=True)), variant))
    runs = len(found) * len(experiment.seeds) * len(experiment.policies)
    if runs > MOST_RUNS:
        raise ExperimentError(f"grid: {runs} runs, {MOST_RUNS} at most")
    return found

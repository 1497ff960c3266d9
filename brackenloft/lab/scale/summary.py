"""Figures of a scale run, made of its histories and of what was seen beside them. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from brackenloft.configuration.model import FIRST_REVISION
from brackenloft.lab.configuration import checkers
from brackenloft.lab.configuration.events import Event, PublishAnswered, PublishAsked
from brackenloft.lab.scale.fleet import FleetPlan
from brackenloft.lab.scale.results import ScaleFigures
from brackenloft.lab.scale.scenario import Observed, Usage
from brackenloft.lab.scale.target import SECONDS_PER_DAY, TARGET
from brackenloft.lab.scale.verdict import all_in_force_s, in_force_times, percentile

GATEWAY, PLAIN, RELAY = "gateway", "plain", "relay"
WINDOWS = ("rest", "changes", "burst", "large")  # of the traffic
WITH_CHANGES = ("changes", "burst")  # those in which changes come all the time


def spent_percent(before: Usage, after: Usage, gateways: int) -> float:
    """Processor time of one hollow gateway, in percent of a core."""
    elapsed_s = (after.at_ms - before.at_ms) / 1000.0
    return 100.0 * (after.hollow_cpu_s - before.hollow_cpu_s) / elapsed_s / gateways


def bytes_s(before: Usage, after: Usage, gateways: int) -> float:
    """Bytes a second of one gateway, both ways."""
    elapsed_s = (after.at_ms - before.at_ms) / 1000.0
    return (after.link_bytes - before.link_bytes) / elapsed_s / gateways


def server_percent(before: Usage, after: Usage) -> float | None:
    """Of a core, the busiest control server; those that were killed meanwhile are left out."""
    elapsed_s = (after.at_ms - before.at_ms) / 1000.0
    both = before.server_cpu_s.keys() & after.server_cpu_s.keys()
    spent = [after.server_cpu_s[name] - before.server_cpu_s[name] for name in both]
    return 100.0 * max(spent) / elapsed_s if spent else None


def added_ms(window: dict[str, Any], name: str = GATEWAY, share: str = "p99") -> float | None:
    """What a gateway adds over the bare relay of the same window."""
    with_it, without = window[name][share], window[RELAY][share]
    return None if with_it is None or without is None else float(with_it - without)


def list_bytes_s(observed: Observed) -> float | None:
    """Bytes a second of the list's watch at rest: changes at the target's rate, and what keeps it alive."""
    before, after = observed.traffic.get("before"), observed.traffic.get("rest")
    if before is None or after is None:
        return None
    elapsed_s: float = (after["at_ms"] - before["at_ms"]) / 1000.0
    listed: int = after["list_bytes"] - before["list_bytes"]
    return listed / elapsed_s


def longest_slice_ms(observed: Observed) -> float | None:
    """Of the real gateway, over the whole run."""
    found = [observed.traffic[name].get("control") for name in WINDOWS if name in observed.traffic]
    slices = [float(each["longest_slice_ms"]) for each in found if each]
    return max(slices, default=None)


def figures(plan: FleetPlan, observed: Observed, events: Sequence[Event], machine_mb: float) -> ScaleFigures:
    """The figures that are asked for; those that could not be measured stay None."""
    times = in_force_times(events, observed.cuts)
    rest = observed.rest
    complete = times.times_s and not times.missed
    windows = [observed.traffic[name] for name in WITH_CHANGES if name in observed.traffic]
    added = [found for window in windows if (found := added_ms(window)) is not None]
    memory = observed.traffic.get("memory")
    listed = list_bytes_s(observed)
    polled = bytes_s(*rest, plan.gateways) if rest else None
    storm = all_in_force_s(events, observed.storm_from_ms, observed.storm_revision, plan.gateways)
    return ScaleFigures(
        gateways=plan.gateways,
        control_servers=plan.control_servers,
        in_force_s_p99=rounded(percentile(times.times_s, 0.99)) if complete else None,
        in_force_s_worst=rounded(max(times.times_s)) if complete else None,
        control_bytes_s=rounded(None if polled is None or listed is None else polled + listed),
        control_cpu_percent=rounded(spent_percent(*rest, plan.gateways)) if rest else None,
        control_memory_mb=rounded(memory[GATEWAY] - memory[PLAIN]) if memory else None,
        apply_stall_ms_max=rounded(longest_slice_ms(observed)),
        added_ms_p99=rounded(max(added, default=None)),
        went_back=len(checkers.went_back(events)),
        torn=len(checkers.torn(events)),
        told_early=len(checkers.told_early(events)),
        restart_storm_s=rounded(storm),
        control_server_cpu_percent=rounded(server_percent(*rest)) if rest else None,
        memory_share=rounded(observed.memory_mb / machine_mb),
    )


def rounded(value: float | None) -> float | None:
    """To three digits behind the point."""
    return None if value is None else round(value, 3)


def beside(plan: FleetPlan, observed: Observed, events: Sequence[Event]) -> dict[str, float | int | None]:
    """What else a run showed, flat."""
    times = in_force_times(events, observed.cuts)
    small = in_force_times(events, observed.cuts, without=[FIRST_REVISION + 1, observed.large_revision])
    longest = [float(one["longest_slice_ms"]) for one in observed.hollow]
    found: dict[str, float | int | None] = {
        "list_bytes_s": rounded(list_bytes_s(observed)),
        "in_force_small_s_p99": rounded(percentile(small.times_s, 0.99)),
        "in_force_small_s_worst": rounded(max(small.times_s, default=None)),
        "large_change_s": rounded(observed.large_s),
        "in_force_s_p50": rounded(percentile(times.times_s, 0.5)),
        "in_force_pairs": len(times.times_s),
        "in_force_missed": times.missed,
        "first_start_s": rounded(observed.start_s),
        "run_memory_mb": rounded(observed.memory_mb),
        "control_server_memory_mb": rounded(observed.server_memory_mb),
        "revisions": observed.storm_revision,
        "not_a_chain": len(checkers.not_a_chain(events)),
        "answer_broken": len(checkers.answer_broken(events)),
        "told_everywhere_s": rounded(observed.told_everywhere_s),
        "told_everywhere_at_end": int(observed.told_everywhere_at_end),
        "hollow_longest_slice_ms": rounded(max(longest, default=None)),
        "hollow_failed_calls": sum(one["failures"] for one in observed.hollow),
        "hollow_busy_answers": sum(one["busy"] for one in observed.hollow),
    }
    found |= _publishing(events)
    windows = {
        "changing": observed.changing, "bursting": observed.bursting, "storming": observed.storming
    }  # fmt: skip
    for name, window in windows.items():
        if window:
            found[f"{name}_s"] = rounded((window[1].at_ms - window[0].at_ms) / 1000.0)
            found[f"{name}_bytes_s"] = rounded(bytes_s(*window, plan.gateways))
            found[f"{name}_cpu_percent"] = rounded(spent_percent(*window, plan.gateways))
            found[f"{name}_server_cpu_percent"] = rounded(server_percent(*window))
    if observed.rest:
        elapsed_s = (observed.rest[1].at_ms - observed.rest[0].at_ms) / 1000.0
        found["rest_changes_over_target"] = rounded(SECONDS_PER_DAY / TARGET.changes_per_day / elapsed_s)
    return found | _latencies(observed)


def _publishing(events: Sequence[Event]) -> dict[str, float | int | None]:
    """From asking for a change until it is answered, or found to stand."""
    asked = {event.marker: event.at_ms for event in events if isinstance(event, PublishAsked)}
    answers = [event for event in events if isinstance(event, PublishAnswered)]
    times_s = [(event.at_ms - asked[event.marker]) / 1000.0 for event in answers]
    return {
        "publish_s_p50": rounded(percentile(times_s, 0.5)),
        "publish_s_worst": rounded(max(times_s, default=None)),
    }


def _latencies(observed: Observed) -> dict[str, float | int | None]:
    found: dict[str, float | int | None] = {}
    for name in WINDOWS:
        window = observed.traffic.get(name)
        if window is None:
            continue
        for target in (RELAY, PLAIN, GATEWAY):
            for share in ("p50", "p99"):
                found[f"{name}_{target}_ms_{share}"] = rounded(window[target][share])
        for target in (PLAIN, GATEWAY):
            for word in ("count", "refused", "failed"):
                found[f"{name}_{target}_{word}"] = window[target][word]
    return found

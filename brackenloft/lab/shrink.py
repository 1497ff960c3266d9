"""A failing run cut down: the fewest faults, nodes, gateways, customers and the shortest time that still
fail.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from brackenloft.lab.spec import Experiment, ExperimentError

MOST_TRIES = 200  # runs that shrinking may take
Fails = Callable[[Experiment], bool]


def _changed(experiment: Experiment, **changes: Any) -> Experiment | None:
    """The experiment with these changes, if it is still one."""
    document = msgspec.to_builtins(experiment) | changes
    try:
        return msgspec.convert(document, Experiment, strict=False)
    except (msgspec.ValidationError, ExperimentError):
        return None


def _fewer_faults(experiment: Experiment) -> Iterator[dict[str, Any]]:
    faults = msgspec.to_builtins(experiment.faults)
    size = len(faults)
    while size:
        for start in range(0, len(faults), size):
            yield {"faults": faults[:start] + faults[start + size :]}
        size //= 2
    for number, fault in enumerate(faults):
        for one in range(len(fault["on"])) if len(fault["on"]) > 1 else ():
            fewer = fault | {"on": [*fault["on"][:one], *fault["on"][one + 1 :]]}
            yield {"faults": [*faults[:number], fewer, *faults[number + 1 :]]}


def _shorter(experiment: Experiment) -> Iterator[dict[str, Any]]:
    last = max([fault.at_ms + fault.for_ms for fault in experiment.faults], default=0.0) + 1.0
    for length in (last, experiment.length_ms / 2.0, experiment.length_ms * 0.8):
        if length < experiment.length_ms:
            yield {"length_ms": length}


def _less_world(experiment: Experiment) -> Iterator[dict[str, Any]]:
    for part, key in (("nodes", "count"), ("gateways", "count"), ("gateways", "width"), ("nodes", "zones")):
        table = msgspec.to_builtins(getattr(experiment, part))
        for value in (table[key] // 2, table[key] - 1):
            if 1 <= value < table[key]:
                yield {part: table | {key: value}}


def _less_load(experiment: Experiment) -> Iterator[dict[str, Any]]:
    plans, classes = msgspec.to_builtins(experiment.plans), msgspec.to_builtins(experiment.classes)
    for number, plan in enumerate(plans):
        if len(plans) > 1:
            yield {"plans": plans[:number] + plans[number + 1 :]}
        if plan["customers"] > 1:
            fewer = plan | {"customers": plan["customers"] // 2}
            yield {"plans": [*plans[:number], fewer, *plans[number + 1 :]]}
    for number in range(len(classes)) if len(classes) > 1 else ():
        yield {"classes": classes[:number] + classes[number + 1 :]}


def smaller(experiment: Experiment) -> Iterator[Experiment]:
    """Candidates, the largest cut first."""
    for cuts in (_fewer_faults, _shorter, _less_world, _less_load):
        for changes in cuts(experiment):
            if found := _changed(experiment, **changes):
                yield found


def shrink(experiment: Experiment, fails: Fails) -> tuple[Experiment, int]:
    """The smallest found that fails, and how many runs it took; ValueError if the first does not fail."""
    if not fails(experiment):
        raise ValueError("it does not fail")
    tries, going = 1, True
    while going and tries < MOST_TRIES:
        going = False
        for candidate in smaller(experiment):
            tries += 1
            if fails(candidate):
                experiment, going = candidate, True
                break
            if tries >= MOST_TRIES:
                break
    return experiment, tries

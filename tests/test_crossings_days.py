"""Figures of restarts and margins: what is counted, shown on policies that do one thing wrong."""

import pytest

from benchmarks import fleet_days
from benchmarks.fleet_days import CLASS_PART, Day, DayWorld, Part, Place
from brackenloft import interface as api
from brackenloft.lab import spec

PATIENCE_MS = 4000.0
READ = spec.Class(
    name="read", aim_ms=1000.0, deadline_ms=PATIENCE_MS, effect=api.Effect.SAFE, share=1.0, work_ms=20.0
)
RESTART = (spec.Fault(kind="gateway_crash", at_ms=1000.0, on=(0, 1, 2, 3)),)


class Wrong:
    """Fails, refuses or forgets every request, or answers and then sends on."""

    def __init__(self, how: str) -> None:
        self.how = how

    def handle(self, now_ms: float, event: api.Event) -> list[api.Action]:
        if not isinstance(event, api.Request):
            return []
        name = event.request_id
        return {
            "fails": [api.Fail(name)],
            "refuses": [api.Refuse(name)],
            "refuses for the quota": [api.Refuse(name, over_quota=True)],
            "forgets": [],
            "sends on": [api.Fail(name), api.Send(name, 0)],
        }[self.how]


def played(how: str, faults: tuple[spec.Fault, ...]) -> Day:
    plan = spec.PlanSpec(name="one", rate=20.0, burst=20.0, customers=4)
    experiment = spec.Experiment(
        name="days",
        length_ms=5000.0,
        classes=(READ,),
        plans=(plan,),
        faults=faults,
        clients=spec.Clients(retries=0),
    )
    world = DayWorld(experiment, lambda settings, seed: Wrong(how), 1)
    world.run()
    return world.day


@pytest.mark.parametrize(
    ("how", "lost", "unsent"),
    [
        ("fails", 0.0, 1.0),
        ("refuses", 0.0, 1.0),
        ("refuses for the quota", 0.0, 0.0),
        ("forgets", 1.0, 0.0),
        ("sends on", 1.0, 1.0),
    ],
)
def test_tries_at_restarted_gateways_that_are_lost_or_end_unsent_are_counted(how, lost, unsent):
    day = played(how, RESTART)
    figures = fleet_days.figures([(day, day)])
    assert figures["restart_tries"] > 10
    assert figures["restart_lost"] == lost * figures["restart_tries"]
    assert figures["restart_unsent_share"] == unsent


def test_a_day_without_a_restart_counts_no_try_at_a_restarted_gateway():
    day = played("forgets", ())
    assert day.restarts["lost", Place.ELSEWHERE] > 10
    assert fleet_days.figures([(day, day)])["restart_tries"] == 0


def test_margins_leave_out_what_is_small_and_set_the_share_served_against_a_part_of_the_other():
    ours = {"large": Part(100, 90.0, 45.0), "small": Part(4, 4.0, 0.0), "often": Part(50, 1.0, 0.25)}
    other = {"large": Part(100, 90.0, 72.0), "small": Part(4, 4.0, 4.0), "often": Part(50, 1.0, 1.0)}
    by_requests = fleet_days.margins(ours, other, CLASS_PART, True)
    assert by_requests == {"large": pytest.approx(0.1), "often": pytest.approx(-0.25)}
    assert fleet_days.margins(ours, other, CLASS_PART, False) == {"large": pytest.approx(0.1)}


def test_the_policy_that_sees_late_lets_in_by_the_true_use_of_all_gateways_and_late():
    plan = spec.PlanSpec(name="one", rate=1.0, burst=5.0, customers=1)
    experiment = spec.Experiment(name="late", classes=(READ,), plans=(plan,))
    make = fleet_days.late_seeing()
    gateways = [make(experiment.settings(index), 1) for index in range(2)]
    nodes = api.ServerList(api.ListKind.FULL, (api.ServerEntry(1, "a"),))

    def let_in(gateway: int, now_ms: float) -> bool:
        request = api.Request(f"{gateway}/{now_ms}", "read", "one", "c", PATIENCE_MS, 1.0, 2)
        return any(isinstance(action, api.Send) for action in gateways[gateway].handle(now_ms, request))

    for gateway in gateways:
        gateway.handle(0.0, nodes)
    late_ms = fleet_days.LATE_MS
    assert all(let_in(number % 2, number) for number in range(20))  # beyond the burst: nothing is seen yet
    assert not let_in(0, late_ms + 20.0) and not let_in(1, late_ms + 21.0)  # what both let in is seen
    # 20 units out of 5, and 1 a second: 16 s later there is room for one again.
    assert not let_in(1, late_ms + 15_000.0)
    assert let_in(1, late_ms + 16_100.0)

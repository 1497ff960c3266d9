"""Edge sizes at which nothing may fault and every request gets its answer."""

from dataclasses import replace

import pytest
from conftest import SETTINGS, Rig, entry

from brackenloft import ListKind, Outcome, Request, Status


def play(rig: Rig, width: int, count: int = 40) -> None:
    """Requests of every plan and class, each answered or ended; all are owed one answer."""
    names = [(p.name, c.name) for p in rig.settings.plans for c in rig.settings.classes]
    for number in range(count):
        plan, kind = names[number % len(names)]
        name = rig.ask(plan, kind, f"c{number % 7}", width=width)
        if name in rig.sent and name not in rig.answers:
            rig.finish(name)
        rig.run(10.0)
    rig.run(4000.0)
    assert len(rig.answers) == count


@pytest.mark.parametrize("gateways, width", [(300, 1), (300, 300), (2, 50), (1, 1), (5000, 4000)])
@pytest.mark.parametrize("servers", [1, 3, 400])
def test_any_size_answers_all(gateways, width, servers):
    rig = Rig(replace(SETTINGS, gateways=gateways))
    rig.servers(*(entry(n, "ab"[n % 2]) for n in range(servers)), kind=ListKind.CACHED)
    play(rig, width)


@pytest.mark.parametrize("load", [None, (), (None, None), (0.5,), (0.5, 3.0, 7.0)])
def test_reports_may_be_missing_short_or_null(load):
    rig = Rig(replace(SETTINGS, load_fields=("util", "queue")))
    rig.servers(entry(1))
    for _ in range(3):
        name = rig.ask()
        rig.do(Outcome(name, 0, 1, Status.OK, 50.0, True, load=load))
    assert rig.ask() in rig.sent


def test_an_old_report_fades():
    # server 1 told of 20 waiting; once enough time and attempts have passed it is taken as any other
    rig = Rig(replace(SETTINGS, load_fields=("queue",)))
    rig.servers(entry(1), entry(2))
    rig.gateway.fleet.report(rig.gateway.fleet.servers[1], (20.0,))
    assert {rig.sent[rig.ask()][0] for _ in range(5)} == {2}
    rig.run(60_000.0)
    assert 1 in {rig.sent[rig.ask()][0] for _ in range(8)}


def test_without_a_meter_a_customer_alone_at_its_gateway_may_retry():
    # a period of nought means no news ever; the whole burst is here, so the slice is not thin
    rig = Rig(replace(SETTINGS, meter_period_ms=0.0, gateways=300))
    rig.servers(entry(1))
    rig.do(Request("x", "safe", "metered", "c", 4000.0, 1, 1, is_retry=True))
    assert "x" in rig.sent


def test_a_whole_list_empty_of_servers_holds_then_refuses():
    rig = Rig()
    rig.servers(kind=ListKind.CACHED)
    name = rig.ask(patience=300.0)
    rig.run(299.0)
    assert rig.answers[name] == "Refuse"

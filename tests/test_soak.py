"""Real gateway processes on loopback under faults, the rules checked from outside (brackenloft.lab.soak)."""

import asyncio

import pytest
import uvloop

from brackenloft.lab.soak.clients import HASTY_HABITS
from brackenloft.lab.soak.faults import Fault, FaultKind
from brackenloft.lab.soak.run import Run, Scenario

LIMIT_S = 120.0  # a run that takes so long hangs

pytestmark = pytest.mark.soak


def violations(scenario, folder, *rules):
    """What a run broke, of these rules, or of all."""
    result = uvloop.run(asyncio.wait_for(Run(scenario, folder).play(), LIMIT_S))
    assert result.counts.get("served", 0) > 0
    return [found for found in result.violations if not rules or found.rule in rules]


@pytest.mark.parametrize("seed", [1, 2])
def test_request_that_a_terminated_process_has_read_is_not_left_without_an_answer(seed, tmp_path):
    fault = Fault(2.0, FaultKind.TERMINATE_IN_SERIES, 0, 0.0, 2)
    scenario = Scenario(
        seed, gateways=1, servers=6, clients=40, length_s=6.0, faults=(fault,), habits=HASTY_HABITS
    )
    assert not violations(scenario, tmp_path, "read and unanswered", "never answered", "crash")


def test_request_that_was_read_is_not_left_without_an_answer_while_room_is_made_in_a_crowd(tmp_path):
    fault = Fault(0.5, FaultKind.CROWD, 0, 4.0, 500)
    scenario = Scenario(3, gateways=1, servers=6, clients=12, length_s=6.0, faults=(fault,))
    assert not violations(scenario, tmp_path, "read and unanswered", "never answered", "crash")


def test_deadline_told_to_a_server_is_no_longer_than_what_the_client_has_left(tmp_path):
    scenario = Scenario(4, gateways=1, servers=4, clients=12, length_s=3.0)
    assert not violations(scenario, tmp_path, "deadline told to a server")


@pytest.mark.parametrize("step_s", [3600, -3600])
def test_server_told_as_just_started_is_not_overrun_while_the_wall_clock_is_off(step_s, tmp_path):
    faults = (
        Fault(0.1, FaultKind.STEP_CLOCK, 0, 8.0, step_s),
        Fault(0.3, FaultKind.KILL, 0, 0.0),
        Fault(2.5, FaultKind.SERVER_RESTARTS, 0, 0.0),
    )
    scenario = Scenario(
        5, gateways=1, servers=4, clients=24, length_s=7.0, faults=faults, habits=HASTY_HABITS
    )
    assert not violations(scenario, tmp_path, "slow start", "crash")


@pytest.mark.parametrize(("seed", "gateways"), [(309, 10), (310, 10), (7023, 4)])
def test_all_rules_hold_on_seeds_that_the_soak_has_broken(seed, gateways, tmp_path):
    scenario = Scenario.drawn(seed, gateways=gateways, servers=8, length_s=8.0, count=40)
    assert not violations(scenario, tmp_path)


@pytest.mark.parametrize("seed", [101, 102, 103])
def test_all_rules_hold_while_faults_of_every_kind_overlap(seed, tmp_path):
    assert not violations(Scenario.drawn(seed, gateways=10, servers=8, length_s=10.0, count=40), tmp_path)

"""A gateway process with little memory beside hundreds of bad clients, judged by what sound ones saw."""

import asyncio

import pytest
import uvloop

from brackenloft.lab.overload.run import Run
from brackenloft.lab.overload.scenario import CrowdKind, Scenario

SECONDS = 6.0  # of a run
LIMIT_S = 90.0  # a run that takes so long hangs

pytestmark = pytest.mark.soak


def played(scenario, folder):
    """What became of the sound clients' requests."""
    return uvloop.run(asyncio.wait_for(Run(scenario, folder).play(), LIMIT_S)).verdict


# Guards against sound requests that pay for what bad clients hold: cut off, or refused for memory.
@pytest.mark.parametrize(
    ("kind", "crowd", "memory_mb"),
    [
        (CrowdKind.ALL, 300, 32),
        (CrowdKind.HALF, 100, 32),
        (CrowdKind.PIPELINE, 40, 32),
        (CrowdKind.READERS, 100, 48),
        (CrowdKind.ALL, 700, 192),
    ],
)
def test_sound_requests_get_whole_answers_beside_bad_clients_within_the_memory(
    kind, crowd, memory_mb, tmp_path
):
    verdict = played(Scenario(11, kind, crowd, memory_mb, seconds=SECONDS), tmp_path)
    assert verdict.broken == {}, verdict.shown
    assert verdict.figures["served"] > 0


# Guards against losses as a process ends and another one begins beside the same crowd.
def test_sound_requests_get_whole_answers_while_a_process_is_replaced_beside_bad_clients(tmp_path):
    verdict = played(
        Scenario(12, CrowdKind.ALL, 100, 48, seconds=SECONDS, restart_at_s=SECONDS / 2), tmp_path
    )
    assert verdict.broken == {}, verdict.shown

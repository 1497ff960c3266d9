"""A gateway process with little memory beside hundreds of bad clients, judged by what sound ones saw."""

import asyncio

import pytest
import uvloop

from brackenloft.lab.overload.run import Run
from brackenloft.lab.overload.scenario import CrowdKind, Scenario, Trouble, Usage

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


# Guards against connections that end under requests: a descriptor with two owners, an end that comes late.
@pytest.mark.parametrize(
    ("crowd", "sockets", "rate_per_s", "trouble"),
    [
        (60, 1024, 300.0, Trouble(places=2, reset_share=0.2)),
        (150, 256, 200.0, Trouble(places=2, stops_per_s=2.0)),
    ],
)
def test_connections_do_not_end_under_requests_beside_full_servers_that_reset_and_a_process_that_stands_still(
    crowd, sockets, rate_per_s, trouble, tmp_path
):
    verdict = played(
        Scenario(
            13,
            CrowdKind.REST,
            crowd,
            memory_mb=192,
            sockets=sockets,
            seconds=SECONDS,
            rate_per_s=rate_per_s,
            trouble=trouble,
        ),
        tmp_path,
    )
    assert verdict.broken == {}, verdict.shown
    assert verdict.figures["served"] > 0


# Guards against requests that wait in the kernel beyond their time: silent clients and such as were turned
# away kept the few places.
def test_requests_are_answered_in_time_where_silent_clients_want_the_few_descriptors(tmp_path):
    verdict = played(
        Scenario(
            14,
            CrowdKind.SILENT,
            120,
            memory_mb=192,
            sockets=96,
            seconds=SECONDS,
            rate_per_s=400.0,
            trouble=Trouble(places=8),
            usage=Usage.ONE_EACH,
        ),
        tmp_path,
    )
    assert verdict.broken == {}, verdict.shown
    assert verdict.figures["served"] > 0


# Guards against answers seconds behind their time: purchases wait for memory, and servers take them slowly.
@pytest.mark.parametrize(("memory_mb", "sockets", "body_rate"), [(64, 1024, 200_000.0), (48, 512, 400_000.0)])
def test_long_purchases_get_their_answers_in_time_where_servers_take_them_slowly(
    memory_mb, sockets, body_rate, tmp_path
):
    trouble = Trouble(body_rate=body_rate)
    scenario = Scenario(
        15,
        CrowdKind.NONE,
        memory_mb=memory_mb,
        sockets=sockets,
        seconds=SECONDS,
        rate_per_s=40.0,
        trouble=trouble,
        usage=Usage.PURCHASES,
    )
    verdict = played(scenario, tmp_path)
    assert verdict.broken == {}, verdict.shown
    assert verdict.figures["served"] > 0

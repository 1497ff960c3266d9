"""What operators are told of a revision: never in force everywhere too early, and who is behind by name."""

from __future__ import annotations

import msgspec
import pytest
from control_operator import confirmed

from brackenloft.configuration.messages import Confirmation, ServerStatus
from brackenloft.configuration.status_report import ServerReport, copies_of, lines, report

NOW_S = 1_800_000_000.0  # 2027-01-15T08:00:00Z


def status_of(name: str, standing: int, *runs: Confirmation, verified_ms=0.0, complete=True) -> ServerStatus:
    return ServerStatus(name, "north", standing, verified_ms, runs, complete)


def test_too_few_servers_are_told_as_not_known():
    silent = [ServerReport(f"c{number}", "", None, None, "no answer: x") for number in range(4)]
    found = report([status_of("a", 1, confirmed(1, 1)), status_of("b", 1)], silent, NOW_S)
    assert not found.everywhere and (found.servers_counted, found.servers_needed) == (2, 3)
    assert list(lines(found))[-1] == (
        "not known to be in force everywhere: 2 control servers count, 3 are needed"
    )
    third = status_of("c", 1)
    assert report([status_of("a", 1), status_of("b", 1), third], silent[:3], NOW_S).everywhere
    for wrong in (status_of("c", 1, complete=False), status_of("c", 0)):
        found = report([status_of("a", 1), status_of("b", 1), wrong], silent[:3], NOW_S)
        assert not found.everywhere
        assert [server.why for server in found.servers[:3]] != ["", "", ""]


def test_a_file_that_names_a_part_of_the_servers_does_not_make_fewer_enough():
    two = [status_of("a", 1), status_of("b", 1)]
    assert report(two, [], NOW_S).everywhere
    of_six = [msgspec.structs.replace(status, servers=6) for status in two]
    found = report(of_six, [], NOW_S)
    assert not found.everywhere and found.servers_needed == 3
    assert report([two[0], of_six[1]], [], NOW_S).servers_needed == 3
    assert report([*of_six, status_of("c", 1)], [], NOW_S).everywhere


def test_an_old_word_of_the_stores_is_told():
    found = report([status_of("a", 1, verified_ms=9_000.0)], [], NOW_S)
    assert "no majority of stores was heard for 9 s: a newer revision may be published" in list(lines(found))


def test_gateways_that_are_behind_are_told_up_to_a_number():
    runs = [confirmed(number, 1, silent_ms=50_000.0) for number in range(30)]
    runs += [confirmed(99, 1)]
    found = report([status_of("a", 2, *runs)], [], NOW_S)
    printed = list(lines(found))
    assert sum(line.startswith("cut off: ") for line in printed) == 20
    assert "and 10 more" in printed
    assert "not yet: gateway g99 in region north has revision 1 in force" in printed
    assert printed[-1] == "not in force everywhere: 31 behind, 30 of them cut off"
    assert found.behind[0].since == "2027-01-15T07:59:10Z"


@pytest.mark.parametrize("silent_ms", [float("nan"), float("inf"), -1.0, 1e300])
def test_a_time_of_silence_that_can_not_be_is_bounded(silent_ms):
    found = report([status_of("a", 2, confirmed(1, 1, silent_ms=silent_ms))], [], NOW_S)
    assert found.behind[0].silent_s == 10 * 365 * 86_400.0
    assert msgspec.json.encode(found)


def test_copies_are_a_majority():
    assert [copies_of(servers) for servers in (1, 2, 3, 4, 5, 6)] == [1, 2, 2, 3, 3, 4]

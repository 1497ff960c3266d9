"""What is owed, and that what is done against it is counted."""

import pytest

from brackenloft.obligations import (
    STATED_IDLE_S,
    STATED_RATE,
    STATED_S,
    TOLD_SLACK_MS,
    Breach,
    CloseReason,
    Dues,
    HalfClose,
    HalfCloseReason,
    Obligations,
    PeerFacts,
    SendFacts,
    Withheld,
    may_close,
    told_ms,
    why_withheld,
)

OWED = [
    (Dues(unanswered=1), Breach.CLOSED_UNANSWERED),
    (Dues(unparsed=True), Breach.CLOSED_UNANSWERED),
    (Dues(partial=True), Breach.CLOSED_UNANSWERED),
    (Dues(undelivered=1), Breach.CLOSED_UNDELIVERED),
    (Dues(unanswered=2, undelivered=3), Breach.CLOSED_UNANSWERED),
]


@pytest.mark.parametrize(("dues", "breach"), OWED)
@pytest.mark.parametrize("reason", CloseReason)
def test_close_over_what_is_owed_is_counted_whatever_reason_the_closer_gives(dues, breach, reason):
    obligations = Obligations()
    obligations.closes("a client", dues, reason)
    assert not may_close(dues)
    assert obligations.closed == {reason.value: 1}
    assert obligations.breaches == {breach.value: 1}


# Guards against an audit that takes the closer's word for what the peer did.
@pytest.mark.parametrize(
    ("reason", "peer", "borne_out"),
    [
        (CloseReason.PEER_LEFT, PeerFacts(left=True), True),
        (CloseReason.PEER_LEFT, PeerFacts(False, 0, STATED_S), False),
        (CloseReason.TAKES_TOO_LITTLE, PeerFacts(False, STATED_S * STATED_RATE - 1, STATED_S), True),
        (CloseReason.TAKES_TOO_LITTLE, PeerFacts(False, STATED_S * STATED_RATE, STATED_S), False),
        (CloseReason.TAKES_TOO_LITTLE, PeerFacts(False, 0, STATED_S / 2), False),
        (CloseReason.TAKES_NOTHING, PeerFacts(False, 0, 9.0, STATED_IDLE_S), True),
        (CloseReason.TAKES_NOTHING, PeerFacts(False, 0, 9.0, STATED_IDLE_S / 2), False),
        (CloseReason.TAKES_NOTHING, PeerFacts(False, 0, 9.0, 8.0, 6 * STATED_RATE), True),
        (CloseReason.TAKES_NOTHING, PeerFacts(False, 0, 9.0, 7.9, 6 * STATED_RATE), False),
        (CloseReason.TAKES_NOTHING, PeerFacts(False, 0, 20.0, STATED_S, 1 << 30), True),
        (CloseReason.ROOM, PeerFacts(True, 0, STATED_S), False),
        (CloseReason.PROCESS_ENDS, PeerFacts(False, 0, STATED_S), False),
    ],
)
def test_peer_is_the_reason_of_a_close_only_by_what_the_kernel_tells(reason, peer, borne_out, caplog):
    obligations = Obligations()
    obligations.closes("a client", Dues(unanswered=1), reason, peer=peer, requests=["a1b2"])
    assert bool(obligations.breaches) is not borne_out
    lost_to_pace = borne_out and not peer.left
    assert obligations.lost == lost_to_pace
    named = [record for record in caplog.records if "a1b2" in record.getMessage()]
    assert bool(named) is (lost_to_pace or not borne_out)
    assert all(record.unrationed for record in named)


# Guards against an end between requests that takes place over one, and is told as a crossing.
@pytest.mark.parametrize(
    ("reason", "came_s", "breached"),
    [
        (HalfCloseReason.PLACES_SHORT, 0.4, True),
        (HalfCloseReason.PROCESS_EMPTIES, 0.4, True),
        (HalfCloseReason.PLACES_SHORT, 0.3, False),
        (HalfCloseReason.TURNED_AWAY, 0.4, False),
        (HalfCloseReason.PROCESS_ENDS, 0.4, False),
    ],
)
def test_half_close_over_bytes_that_had_come_is_a_breach_where_the_connection_was_still_read(
    reason, came_s, breached
):
    obligations = Obligations()
    half_close = HalfClose(reason, since_s=0.3, came_s=came_s)
    obligations.closes("a client", Dues(), CloseReason.DONE, unread=True, half_close=half_close)
    assert obligations.breaches == ({Breach.ENDED_OVER_COMMAND: 1} if breached else {})
    assert obligations.crossed == ({} if breached else {reason: 1})


@pytest.mark.parametrize("reason", CloseReason)
def test_close_when_nothing_is_owed_is_no_breach(reason):
    obligations = Obligations()
    obligations.closes("a client", Dues(), reason)
    assert may_close(Dues()) and obligations.breaches == {}


@pytest.mark.parametrize(
    ("wanted", "left_ms", "breach"),
    [
        (True, 1.0, None),
        (True, -TOLD_SLACK_MS, None),
        (True, -TOLD_SLACK_MS - 1.0, Breach.SENT_LATE),
        (False, 100.0, Breach.SENT_UNWANTED),
    ],
)
def test_attempt_that_goes_out_late_or_for_nobody_is_counted(wanted, left_ms, breach):
    obligations = Obligations()
    obligations.sends("a request", wanted, left_ms)
    assert obligations.breaches == ({breach.value: 1} if breach else {})


def test_attempt_goes_out_while_it_is_wanted_and_in_time_and_tells_what_is_left():
    assert why_withheld(SendFacts(left_ms=0.5)) is None
    assert why_withheld(SendFacts(left_ms=0.0)) is Withheld.NO_TIME
    assert why_withheld(SendFacts(wanted=False, left_ms=5.0)) is Withheld.UNWANTED
    assert why_withheld(SendFacts(window_ms=0.0)) is Withheld.KEY_FORGOTTEN
    assert why_withheld(SendFacts(elsewhere=True)) is Withheld.SENT_ELSEWHERE
    assert why_withheld(SendFacts(unsure=True)) is Withheld.UNSURE
    assert told_ms(250.0) == 250.0 and told_ms(-3.0) > 0.0

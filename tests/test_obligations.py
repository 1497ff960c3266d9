"""What is owed, and that what is done against it is counted."""

import pytest

from brackenloft.obligations import (
    PEERS_OWN,
    TOLD_SLACK_MS,
    Breach,
    CloseReason,
    Dues,
    Obligations,
    SendFacts,
    Withheld,
    may_close,
    told_ms,
    why_withheld,
)

OWED = [
    (Dues(unanswered=1), Breach.CLOSED_UNANSWERED),
    (Dues(unparsed=True), Breach.CLOSED_UNANSWERED),
    (Dues(undelivered=1), Breach.CLOSED_UNDELIVERED),
    (Dues(unanswered=2, undelivered=3), Breach.CLOSED_UNANSWERED),
]


@pytest.mark.parametrize(("dues", "breach"), OWED)
@pytest.mark.parametrize("reason", CloseReason)
def test_close_over_what_is_owed_is_counted_unless_the_peer_is_the_reason(dues, breach, reason):
    obligations = Obligations()
    obligations.closes("a client", dues, reason)
    assert not may_close(dues)
    assert obligations.closed == {reason.value: 1}
    assert obligations.breaches == ({} if reason in PEERS_OWN else {breach.value: 1})


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

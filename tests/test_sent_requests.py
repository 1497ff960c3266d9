"""Ids of requests that may have run are remembered for a while, and only so many."""

from brackenloft.net.sent_requests import MOST_REMEMBERED, REMEMBERED_MS, SentRequests


# Guards against ids that are kept without end, or forgotten while a client may still come back with one.
def test_ids_are_remembered_for_a_time_and_up_to_a_number():
    sent = SentRequests()
    sent.note("old", 0.0)
    assert sent.may_have_run("old", REMEMBERED_MS - 1.0)
    assert not sent.may_have_run("old", REMEMBERED_MS) and not sent.may_have_run("other", 0.0)
    for number in range(2 * MOST_REMEMBERED):
        sent.note(f"r{number}", 1000.0)
        assert len(sent.sent_at) <= MOST_REMEMBERED
    assert not sent.may_have_run("old", 1000.0)
    sent.note("new", 1000.0 + 2 * REMEMBERED_MS)
    assert sent.ages(1000.0 + 2 * REMEMBERED_MS) == [("new", 0.0)]
    sent.forget("new")
    assert not sent.sent_at

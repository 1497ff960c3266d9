"""Before a planned end, and when to come back after a refusal over quota."""

from conftest import Rig, entry, rig_with

from brackenloft import Limits, Plan, Refuse, Stopping


def test_all_in_hand_and_all_that_comes_is_answered_before_the_end(rig):
    out = [rig.ask(class_name=name) for name in ("safe", "unsafe")]
    rig.run(100.0)
    rig.do(Stopping(1000.0))
    late = rig.ask(class_name="safe")
    rig.run(990.0)
    assert not rig.answers
    rig.run(10.0)
    assert rig.answers == {out[0]: "Refuse", out[1]: "Fail", late: "Refuse"}


def test_stopping_does_not_prolong_a_shorter_wait(rig):
    rig.do(Stopping(1000.0))
    name = rig.ask(patience=100.0)
    rig.run(100.0)
    assert rig.answers == {name: "Refuse"}


def test_refusal_over_quota_tells_when_the_bucket_has_drained_so_that_coming_back_then_is_sent_at_once():
    rig = rig_with(
        limits=Limits(can_advise_retry=True, max_retry_after_ms=60_000.0),
        plans=(Plan("metered", rate=2.0, burst=4.0),),
    )
    rig.servers(entry(1), entry(2))
    refusal = first_refusal(rig)
    assert 0.0 < refusal.retry_after_ms < 60_000.0
    rig.run(refusal.retry_after_ms + 1.0)
    assert rig.ask("metered") in rig.sent


def test_advice_is_bounded_and_given_only_where_the_settings_allow_it():
    plans = (Plan("metered", rate=2.0, burst=4.0),)
    for limits, told in ((Limits(can_advise_retry=True, max_retry_after_ms=7.0), 7.0), (Limits(), 0.0)):
        rig = rig_with(limits=limits, plans=plans)
        rig.servers(entry(1), entry(2))
        assert first_refusal(rig).retry_after_ms == told


def first_refusal(rig: Rig) -> Refuse:
    """Ask for one customer, at one moment, until it is refused."""
    found: list[Refuse] = []
    plain = rig.do

    def do(event):
        actions = plain(event)
        found.extend(action for action in actions if isinstance(action, Refuse))
        return actions

    rig.do = do
    while not found:
        rig.ask("metered")
    rig.do = plain
    return found[0]

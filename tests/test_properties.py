"""The rules as properties: whatever comes in whatever order, within bounds, they hold."""

from conftest import SETTINGS, Rig, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenloft import ClientGone, Effect, ListKind, Outcome, ServerState, Status

NAMES = [item.name for item in SETTINGS.classes]
MAYBE = {Status.ERROR, Status.TIMEOUT, Status.RESET, Status.CANCELLED}
STEPS = st.one_of(
    st.tuples(
        st.just("ask"),
        st.sampled_from([p.name for p in SETTINGS.plans]),
        st.sampled_from(NAMES),
        st.floats(20.0, 4000.0),
        st.integers(1, 4),
    ),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from([s for s in Status if s is not Status.OK])),
    st.tuples(st.just("end"), st.integers(0, 50), st.just(Status.OK)),
    st.tuples(st.just("wait"), st.floats(0.0, 900.0)),
    st.tuples(st.just("list"), st.integers(1, 4), st.sampled_from(list(ServerState))),
    st.tuples(st.just("leave"), st.integers(0, 50)),
)


class Checker(Rig):
    """Keeps its own account of every request and checks each send and answer against the rules."""

    def __init__(self):
        super().__init__()
        self.info, self.out, self.maybe, self.ready, self.over = {}, {}, {}, set(), set()
        self.drawn = []

    def do(self, event):
        before = {name: len(sent) for name, sent in self.sent.items()}
        answered = set(self.answers)
        actions = super().do(event)
        for name, sent in self.sent.items():
            if len(sent) > before.get(name, 0):
                self.check_send(name, sent, before.get(name, 0))
        for name in set(self.answers) - answered:
            self.check_answer(name)
        return actions

    def check_send(self, name, sent, before):
        kind, plan, units, deadline = self.info[name]
        assert len(sent) == before + 1 <= 3 and not self.out.get(name) and name not in self.over
        assert sent[-1] in self.ready and self.now < deadline
        if self.maybe.get(name) is not None:
            assert kind.effect is not Effect.UNSAFE
            if kind.effect is Effect.KEYED:
                assert self.now - self.maybe[name] < kind.key_memory_ms
        self.out[name] = (len(sent) - 1, sent[-1], self.now)
        if before == 0 and plan == "ceiling":
            self.drawn.append((self.now, units))
            for start, _ in self.drawn:
                total = sum(u for t, u in self.drawn if t >= start)
                assert total <= 10.0 + 5.0 * (self.now - start) / 1000.0 + 1e-6

    def check_answer(self, name):
        kind, _, _, deadline = self.info[name]
        assert self.now <= deadline + 8.0 and name not in self.over
        self.over.add(name)
        doubt = self.maybe.get(name) is not None or self.out.get(name)
        if self.answers[name] == "Refuse" and doubt:
            assert kind.effect is Effect.SAFE or kind.name == "keyed-all"

    def step(self, step):
        if step[0] == "ask":
            _, plan, class_name, patience, units = step
            name = f"r{self.count + 1}"
            self.info[name] = (self.gateway.terms[class_name, plan].kind, plan, units, self.now + patience)
            self.ask(plan, class_name, patience=patience, units=units)
        elif step[0] == "wait":
            self.run(step[1])
        elif step[0] == "list":
            state = step[2]
            (self.ready.add if state is ServerState.READY else self.ready.discard)(step[1])
            self.servers(entry(step[1], "ab"[step[1] % 2], state=state), kind=ListKind.CHANGES)
        elif step[0] == "leave" and (held := [n for n in self.info if n not in self.over]):
            name = held[step[1] % len(held)]
            self.over.add(name)
            self.do(ClientGone(name))
        elif step[0] == "end" and (out := [n for n, o in self.out.items() if o]):
            self.end(out[step[1] % len(out)], step[2])

    def end(self, name, status):
        number, server, sent = self.out[name]
        self.out[name] = None
        if status in MAYBE and self.maybe.get(name) is None:
            self.maybe[name] = sent
        closed = status is Status.OK or name in self.over
        if closed:
            self.over.add(name)
        self.do(Outcome(name, number, server, status, self.now - sent, closed))


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEPS, min_size=5, max_size=60))
def test_rules_hold_and_every_request_is_answered(steps):
    checker = Checker()
    for number in (1, 2):
        checker.step(("list", number, ServerState.READY))
    for step in steps:
        checker.step(step)
    checker.run(5000.0)
    assert set(checker.info) == checker.over

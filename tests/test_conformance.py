"""The driver on sockets and the world in virtual time make the same of every action."""

from __future__ import annotations

import contextlib
import dataclasses

import pytest
import uvloop

from brackenloft import interface as api
from brackenloft.lab.conformance import SCRIPTS, Trace, virtual, wire
from brackenloft.lab.world import World
from brackenloft.net.driver import Driver

NAMES = {script.name: script for script in SCRIPTS}


@pytest.mark.parametrize("name", NAMES)
def test_the_world_plays_the_script(name):
    assert virtual.play(NAMES[name]).differences() == []


@pytest.mark.parametrize("name", NAMES)
def test_the_driver_plays_the_script(name):
    async def scenario():
        return await wire.play(NAMES[name])

    assert uvloop.run(scenario()).differences() == []


def test_every_status_of_an_attempt_and_every_answer_is_in_the_scripts():
    seen = {word for script in SCRIPTS for event in script.happens for word in event}
    assert {status for status in api.Status} <= seen
    assert {"served", "refused", "failed", "gone", "timer"} <= seen


def test_a_trace_tells_what_differs():
    script = NAMES["served"]
    played = Trace(script)
    assert not played.whole() and len(played.differences()) == 1
    played.due[1] = 50.0
    played.handle(49.0, api.TimerFired(1))
    assert "early" in played.differences()[0]
    played.inside = True
    played.handle(49.0, api.Request("a", "kind", "plan", "c", 1.0))
    assert any("inside" in line for line in played.differences())
    played.stopped.append((0, "a"))
    assert any("given up" in line for line in played.differences())


def conforming():
    found = []
    for script in SCRIPTS:
        with contextlib.suppress(StopIteration):  # a node was sent more than the script has for it
            found += [script.name] if not virtual.play(script).differences() else []
    return found


@pytest.mark.parametrize("wrong", ["answer", "twice", "not_sent", "cancel", "late"])
def test_a_world_that_means_something_else_by_an_action_does_not_conform(wrong, monkeypatch):
    if wrong == "answer":  # decisions hear of a good answer before the client has it
        settle = virtual.Scripted.settle

        def later(world, seat, ask, *rest):
            ask.ended = True
            world.later(0.0, lambda _: settle(world, seat, ask, *rest), None)

        monkeypatch.setattr(virtual.Scripted, "settle", later)
    elif wrong == "twice":
        ended = World._ended
        monkeypatch.setattr(
            World,
            "_ended",
            lambda world, which: (
                ended(world, which),
                world._tell(which[0], api.Outcome(which[1].name, which[2], 0, which[3], 0.0, which[1].ended)),
            ),
        )
    elif wrong == "not_sent":
        monkeypatch.setattr(World, "_not_sent", lambda world, which: None)
    elif wrong == "cancel":
        monkeypatch.setattr(virtual.ByHeart, "cancel", lambda node, job: None)
    else:
        timer = World._timer
        monkeypatch.setattr(
            World,
            "_timer",
            lambda world, which: (
                world.later(200.0, lambda w: timer(world, w), which) if which[1] == 2 else timer(world, which)
            ),
        )
    assert len(conforming()) < len(SCRIPTS)


def test_a_driver_that_answers_after_the_decisions_have_heard_does_not_conform(monkeypatch):
    answer = Driver._answer
    monkeypatch.setattr(
        Driver,
        "_answer",
        lambda driver, call, what: (
            driver.loop.call_soon(answer, driver, call, what) and setattr(call, "answered", True)
        ),
    )

    async def scenario():
        return await wire.play(NAMES["served"])

    assert uvloop.run(scenario()).differences()


def test_scripts_are_plain_data():
    assert all(dataclasses.is_dataclass(script) and script.happens for script in SCRIPTS)
    assert len(NAMES) == len(SCRIPTS)

"""One recorded script of requests, with faults, in every housing and over every front: the same answers."""

import random
from dataclasses import replace
from pathlib import Path

import pytest
from fakes import HOUSINGS, SETTINGS, housing, node, resp, run

from brackenloft import Plan
from brackenloft.edge import Call, FieldError, Node
from brackenloft.net.wire import answer_line
from brackenloft.standins import BoardNode, Fault, Peer

RECORDED = Path(__file__).parent / "transcript.txt"
PLANS = (Plan("free"), Plan("tiny", rate=0.001, burst=6.0))
FAULTS = (None, Fault.SLOW, Fault.RESET, Fault.SPOILT, Fault.ERROR, Fault.HANG_UP, Fault.BUSY)
MANY = 120


def script():
    """Calls, each with the fault of its first attempt; further attempts have none."""
    draw = random.Random(20261201)
    for number in range(MANY):
        kind = draw.choice(("read", "post", "buy", "buy", "read", "none"))
        yield (
            Call(
                kind,
                draw.choice(("free", "free", "tiny")),
                f"{draw.randrange(1, 4):016x}",
                body=b"" if kind == "read" else draw.randbytes(draw.choice((0, 10, 5000))),
                key=f"{number:08x}" if kind == "post" else None,
                units=draw.choice((1.0, 0.5, 0.25)),
                width=draw.choice((1, 2)),
                request_id=f"{number:016x}",
            ),
            draw.choice(FAULTS),
        )


def command(call: Call) -> bytes:
    key = f"k={call.key}," if call.key else ""
    listed = (
        f"c={call.class_name},t={call.plan},d=4000,{key}units={call.units:g},"
        f"spread={call.width},first={call.first_gateway}"
    )
    words = ["CALL.GET" if call.class_name == "read" else "CALL.POST", call.customer, call.request_id, listed]
    return resp(*words, *([] if call.class_name == "read" else [call.body]))


async def by_resp(gateway, peer: Peer, call: Call) -> bytes:
    peer.send(command(call))
    head = await peer.reader.readline()
    if head.startswith(b"$"):
        return head + await peer.reader.readexactly(int(head[1:]) + 2)
    return b"-ERR\r\n" if head.startswith(b"-ERR unknown class") else head


async def by_call(gateway, peer: Peer, call: Call) -> bytes:
    try:
        return answer_line(await gateway.edge.call(replace(call, patience_ms=4000.0)))
    except FieldError as error:
        assert error.field == "class_name"
        return b"-ERR\r\n"


def transcript(ask) -> bytes:
    """All answers as a client reads them, one after the other."""
    answers = []

    async def test():
        faults = []
        board = await BoardNode(
            "b", work_s=0.0, slow_s=0.01, script=lambda _: faults.pop() if faults else None
        ).start()
        async with node(plans=PLANS) as gateway:
            gateway.edge.use([Node("b", "127.0.0.1", board.port)])
            peer = await gateway.peer()
            peer.reader._limit = 1 << 20
            for call, fault in script():
                faults[:] = [fault]
                answers.append(await ask(gateway, peer, call))
            assert max(board.runs.values()) == 1
        board.close()

    run(test())
    assert len(answers) == MANY and SETTINGS.limits.can_advise_retry is False
    return b"".join(answers)


@pytest.mark.parametrize("where", HOUSINGS)
@pytest.mark.parametrize("ask", [by_resp, by_call])
def test_answers_are_the_recorded_ones_byte_for_byte(where, ask):
    housing["now"] = where
    assert transcript(ask) == RECORDED.read_bytes()


def test_recorded_script_has_every_kind_of_answer():
    text = RECORDED.read_bytes()
    for part in (b"call.get", b"call.post", b"-BUSY\r\n", b"-ERR failed\r\n", b"-ERR\r\n"):
        assert text.count(part) >= 5

"""What only the event loop sees is counted and written."""

import asyncio
import gc

import uvloop

from brackenloft.net.loop_errors import LoopErrors


def test_exception_of_a_callback_and_of_a_task_that_nobody_waits_for_are_counted_and_written(caplog):
    async def fails():
        raise RuntimeError("in a task")

    def fails_at_once():
        raise RuntimeError("in a callback")

    async def test():
        loop = asyncio.get_running_loop()
        errors = LoopErrors(loop)
        loop.call_soon(fails_at_once)
        loop.create_task(fails())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        gc.collect()
        return errors.count

    assert uvloop.run(test()) == 2
    assert all(text in caplog.text for text in ("in a callback", "in a task"))

"""A cancelled task runs on: its runner restarts under its id, and the order to
stop the task is carried out late. Exit code 1 means that it runs on."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin-3"))
import world as w  # noqa: E402

JOB = "5c0e7a21d94b36f8"
LATE_S = 3.0  # The order is carried out this much later.
FIRST_BEAT_S = 0.7  # After the restart; heartbeat_ms is 1500.
CHECK_S = 20.0  # After the acknowledgement of the cancel.


async def case(world, trouble):
    runner = w.Runner(world, "wk-b1", ["b"], lambda spec: float("inf"))
    held = []

    async def leave_late(runner, target, headers, call):
        if target != "/bronzeworks/run-stop" or held:
            return False
        held.append(time.monotonic())
        world.record.write("runner", f"{runner.id} leaves run-stop "
                           f"task={call['task']} fence={call['fence']} "
                           "unanswered")

        async def later():
            await asyncio.sleep(LATE_S)
            world.record.write("runner", f"{runner.id} carries it out late")
            await runner.carry_out(target, headers, call)
        asyncio.ensure_future(later())
        await asyncio.sleep(LATE_S)
        return None

    await world.start(nodes=1, runners=[runner])
    await world.until_scheduling()
    await asyncio.sleep(4.0)
    node = world.nodes[0]

    async def submit_and_cancel():
        status, _ = await node.call("POST", world.prefix + JOB, {
            "spec": "serve", "steps": [{
                "count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 900,
                "requires": "b", "long_running": True}]})
        if status != 200:
            raise w.CannotRun(f"the POST got {status}")
        await world.until("the start of the task", 10,
                          lambda: runner.history and
                          runner.history[-1].ended is None)
        status, _ = await node.call("DELETE", world.prefix + JOB)
        if status != 200:
            raise w.CannotRun(f"the DELETE got {status}")
        return time.monotonic()

    if trouble:
        world.beating.discard(runner)
        await runner.crash()
        runner.before_call = leave_late
        await runner.start()
        begun = time.monotonic()

        async def first_beat():
            await asyncio.sleep(begun + FIRST_BEAT_S - time.monotonic())
            await runner.beat()
            world.record.write("runner", f"{runner.id} reports itself")
            world.beating.add(runner)
        beat = asyncio.ensure_future(first_beat())
        acknowledged = await submit_and_cancel()
        await beat
    else:
        acknowledged = await submit_and_cancel()

    await asyncio.sleep(acknowledged + CHECK_S - time.monotonic())
    broken = []
    for run in runner.running.values():
        broken.append(f"UNASKED: task={run.task} run={run.run} still runs "
                      f"{CHECK_S:.0f} s after the cancel was acknowledged")
    return broken


w.main(case, __file__)

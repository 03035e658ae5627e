"""After a figure under `bounds` has become a fraction, no restarted process
starts. Exit code 1 means that an accepted job gets no answer any more."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standin-3"))
import world as w  # noqa: E402

JOB = "5c0e7a21d94b36f8"
FINISH_S = 14.0  # finish_s of the settings.
NEW_DRAIN_MS = 2500.5


async def case(world, trouble):
    runners = [w.Runner(world, name, ["a"], lambda spec: 20.0)
               for name in ("wk-1", "wk-2")]
    await world.start(nodes=2, runners=runners)
    await world.until_scheduling()
    await asyncio.sleep(4.0)
    status, _ = await world.nodes[0].call("POST", world.prefix + JOB, {
        "spec": "work", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256,
                                   "estimate_ms": 20000}]})
    if status != 200:
        raise w.CannotRun(f"the POST got {status}")
    figure = NEW_DRAIN_MS if trouble else int(NEW_DRAIN_MS)
    for node in world.nodes:
        node.write_settings(world.bounds | {"drain_ms": figure})
        world.record.write("operator", f"{node.name}: bounds.drain_ms is "
                           f"{figure} now")
        node.signal(signal.SIGHUP)
    await asyncio.sleep(3.0)
    for node in world.nodes:  # A restart in turn, as the platform does it.
        node.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(node.process.wait(),
                                   world.bounds["grace_s"])
        except asyncio.TimeoutError:
            node.signal(signal.SIGKILL)
            await node.process.wait()
        await node.start()
        await asyncio.sleep(5.0)
    await asyncio.sleep(FINISH_S)
    broken, codes = [], []
    for node in world.nodes:
        if node.process.returncode is not None:
            codes.append(node.process.returncode)
            world.record.write("node", f"{node.name} has ended with code "
                               f"{node.process.returncode}: "
                               f"{node.log().strip().splitlines()[-1]}")
            broken.append(f"Fault: {node.name} doesn't start")
    answers = [(await node.call("GET", world.prefix + JOB))[0]
               for node in world.nodes]
    if all(status != 200 for status in answers):
        broken.append(f"LOST: {JOB} was accepted and gets no answer "
                      f"{FINISH_S:.0f} s after the restart: {answers}")
    return broken


w.main(case, __file__)

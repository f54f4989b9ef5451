"""A task crashes each executor that starts it, each away for 8 s; the owner is stopped by SIGTERM once meanwhile.

Broken: the task is started three times more after three executors have crashed under it.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))

import platform_standin as standin  # noqa: E402

CRASH_AFTER_MS = 100
DOWN_S = 8
CRASHES = 3
MORE_STARTS = 3
# From the first start to the SIGTERM.
STOP_AFTER_S = 14.5


async def restart(platform, instance):
    instance.signal(signal.SIGTERM)
    await instance.ended(standin.GRACE_S)
    instance.start()


async def scenario(platform):
    job = standin.job_id()
    task = f"{job}.0.0.0"
    behaviour = {"work_ms": 5000, "deadly": {"after_ms": CRASH_AFTER_MS, "down_s": DOWN_S}}
    if not await platform.submit(job, behaviour, [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000}]):
        raise RuntimeError("the job was not accepted")
    is_stopped = not standin.has_trouble()
    more = []
    state, asked = None, 0.0
    until = platform.record.now() + 60
    while platform.record.now() < until and len(more) < MORE_STARTS and state != "failed":
        now = platform.record.now()
        starts = platform.ledger.starts_of(task)
        if starts and not is_stopped and now >= starts[0]["at"] + STOP_AFTER_S:
            is_stopped = True
            platform.spawn(restart(platform, platform.owner()))
        crashes = [it["at"] for it in platform.ledger.ended if it["task"] == task and it["how"] == "crashed"]
        if len(crashes) >= CRASHES:
            more = [it for it in starts if it["at"] > crashes[CRASHES - 1]]
        if now >= asked + 2:
            asked = now
            state = await platform.state(job)
        await asyncio.sleep(0.05)
    held = len(more) < MORE_STARTS
    platform.record.line("result", held=held, state=state, starts=len(platform.ledger.starts_of(task)), starts_after_the_third_crash=len(more))
    return held


standin.main(scenario, HERE, instances=2, executors=10)

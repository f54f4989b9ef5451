"""A configuration removes a route and adds one with another name at the same host and path.

Broken: a GET for a job that was accepted there before, and that nobody has cancelled, is answered 410; or its
task goes on after a DELETE was answered.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))

import platform_standin as standin  # noqa: E402

WORK_MS = 30000
# More than config_apply_ms, visible_ms and stability_ms after the acknowledgement.
SETTLED_S = 6
CANCEL_S = 3.0
STOP_TIMEOUT_S = 0.9
SLACK_S = 2.0


async def scenario(platform):
    job = standin.job_id()
    task = f"{job}.0.0.0"
    if not await platform.submit(job, {"work_ms": WORK_MS}, [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": WORK_MS}]):
        raise RuntimeError("the job was not accepted")
    await asyncio.sleep(2)
    before = [await platform.request(it, "GET", job) for it in platform.instances]
    if any(it is None or it[0] != 200 for it in before):
        raise RuntimeError("the job is not shown before the change")
    platform.configure(version=8, name="r-batch-2" if standin.has_trouble() else "r-batch")
    await asyncio.sleep(SETTLED_S)
    answers = [await platform.request(it, "GET", job) for it in platform.instances]
    cancelled = await platform.request(platform.instances[0], "DELETE", job)
    await asyncio.sleep(CANCEL_S + STOP_TIMEOUT_S + SLACK_S)
    is_denied = any(it is not None and it[0] == 410 for it in answers)
    is_acknowledged = cancelled is not None and (cancelled[0] // 100 == 2 or cancelled[0] == 410)
    runs_on = is_acknowledged and any(task in it.running for it in platform.executors)
    held = not is_denied and not runs_on
    platform.record.line("result", held=held, get=[it and it[0] for it in answers], delete=cancelled and cancelled[0], runs_on_after_delete=runs_on)
    return held


standin.main(scenario, HERE, instances=2, executors=4)

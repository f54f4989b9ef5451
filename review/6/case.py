"""Four of ten executors are replaced one after the other while a job of 100 tasks saves checkpoints of 3,000 bytes.

Broken: a job that is accepted after that has nothing running, beside an empty service.
"""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))

import platform_standin as standin  # noqa: E402

CHECKPOINT_BYTES = 3000
TASKS = 100
EXECUTORS = 10
# A share of 0.4; the site's largest release has 0.45, one executor at a time and 1 s between two.
REPLACED = 4
GAP_S = 1
FINISH_S = 14
WAIT_S = 3
# Between the last replacement and the job that is asked for.
CALM_S = 5


def lies_idle(platform, job):
    """Whether the job waits beside room for it twice over, with under half of the service's capacity in use."""
    up = [it for it in platform.executors if it.is_up and it.state == "ready"]
    used = sum(it.used("cpu") for it in up)
    capacity = sum(it.capacity["cpu"] for it in up)
    needs = platform.ledger.jobs[job]["phases"][0]["cpu"]
    has_room = any(it.used("cpu") + 2 * needs <= it.capacity["cpu"] for it in up)
    is_running = any(task.startswith(job) for it in up for task in it.running)
    is_done = any(it["task"].startswith(job) and it["how"] == "done" for it in platform.ledger.ended)
    return has_room and 2 * used < capacity and not is_running and not is_done


async def scenario(platform):
    large, small = standin.job_id(), standin.job_id()
    phases = [{"count": TASKS, "cpu": 1000, "mem_mb": 256, "estimate_ms": 60000, "checkpointing": True}]
    if not await platform.submit(large, {"work_ms": 600000, "checkpoint_bytes": CHECKPOINT_BYTES}, phases):
        raise RuntimeError("the first job was not accepted")
    await asyncio.sleep(3)
    # The release begins with the executors that have most to do.
    for it in sorted(platform.executors, key=lambda it: -len(it.running))[:REPLACED]:
        if standin.has_trouble():
            await platform.replace(it)
        else:
            await asyncio.sleep(3)
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(CALM_S)
    if not await platform.submit(small, {"work_ms": 500}, [{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}]):
        raise RuntimeError("the second job was not accepted")
    await asyncio.sleep(FINISH_S)
    idle_since = None
    until = platform.record.now() + 2 * WAIT_S
    while platform.record.now() < until:
        now = platform.record.now()
        if not lies_idle(platform, small):
            idle_since = None
        elif idle_since is None:
            idle_since = now
        elif now - idle_since >= WAIT_S:
            break
        await asyncio.sleep(0.1)
    for job in (small, large):
        await platform.state(job)
    used = sum(it.used("cpu") for it in platform.executors if it.is_up)
    held = idle_since is None or platform.record.now() - idle_since < WAIT_S
    platform.record.line("result", held=held, starts_of_second_job=len(platform.ledger.starts_of(f"{small}.0.0.0")), millicores_in_use=used, appends_refused_as_too_large=platform.store.refused_appends)
    return held


standin.main(scenario, HERE, instances=2, executors=EXECUTORS)

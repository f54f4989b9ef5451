"""A scheduled job whose times have passed: do the instances stay within their memory, and are other jobs still run?"""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))

from world import ROUTES, job, run_case  # noqa: E402

HOST_A, PREFIX_A = ROUTES[0][1:]
HOST_B, PREFIX_B = ROUTES[1][1:]
# Every minute for a week.
TIMES = 10000
INTERVAL_MS = 60000
WEEK_MS = TIMES * INTERVAL_MS
DAY_MS = 24 * 3600 * 1000
# The largest that jobs of the site have.
STEPS = 5
TASKS = 36
USUAL_JOBS = 8
PAUSE_S = 3
FINISH_S = 45


def scheduled_job(start_ms):
    scheduled = job(TASKS, work_ms=300, cpu=1000, steps=STEPS, repeat_count=TIMES, start_at_ms=start_ms, interval_ms=INTERVAL_MS)
    for i in range(1, STEPS):
        scheduled["phases"][i]["after"] = [i - 1]
    return scheduled


async def play(world):
    clients = world.clients
    now_ms = int(time.time() * 1000)
    # Without the trouble its times are still to come.
    start_ms = now_ms - WEEK_MS - DAY_MS if world.has_trouble else now_ms + DAY_MS
    await clients.submit(HOST_B, PREFIX_B, scheduled_job(start_ms), tries=3)
    await asyncio.sleep(PAUSE_S)
    usual = await asyncio.gather(*[clients.submit(HOST_A, PREFIX_A, job(2)) for _ in range(USUAL_JOBS)])
    accepted = [it for it in usual if it]
    states = await asyncio.gather(*[clients.wait_for(HOST_A, PREFIX_A, it, ["completed"], FINISH_S) for it in accepted])
    findings = []
    for it in world.instances:
        world.record(f"{it.name}: at most {it.peak_mb:.0f} MB of {it.memory_mb} MB, ended {len(it.ends)} times")
        if it.ends:
            findings.append(f"{it.name} ended by itself {len(it.ends)} times: {', '.join(it.ends)}")
    open_jobs = USUAL_JOBS - states.count("completed")
    if open_jobs:
        findings.append(f"LOST: {open_jobs} of {USUAL_JOBS} usual jobs are not completed {FINISH_S} s after they were handed in, of which {len(accepted)} were accepted")
    return findings


run_case(FOLDER, play)

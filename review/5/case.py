"""LOST: a route is removed while one of its jobs runs, and then the instance that schedules is restarted."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from world import FINISH_S, IDLE_S, World, play

TASK_MS = 6000
CONFIG_S = 3


class Case(World):
    queues = [{"priority": 0, "max_attempts": 3}, {"priority": 0, "max_attempts": 3}]

    async def run(self):
        first = {"count": 2, "cpu": 2000, "mem_mb": 2000, "estimate_ms": TASK_MS}
        job = await self.submit([first, {**first, "after": [0]}], {"ms": TASK_MS}, queue=1)
        # Each run of its only task fails: a job may be shown as failed after max_attempts of them.
        failing = await self.submit([{**first, "count": 1}], {"ms": TASK_MS + 1000, "ends": "failed"}, queue=1)
        await asyncio.sleep(1)
        # The new configuration has the other route only.
        self.configure([self.route(0)])
        await asyncio.sleep(3)
        if self.has_trouble:
            owner = await self.owner()
            owner.send(signal.SIGTERM)
            await owner.restart()
        await self.until(lambda: len(self.done_of(job)) == 2, 2 * TASK_MS / 1000)
        self.record("first_step_done", ends=len(self.done_of(job)))
        # Nothing of the job runs, the second step's turn has come, and all executors are free.
        await asyncio.sleep(FINISH_S + IDLE_S)
        starts = [it for it in self.starts_of(job) if it["task"].split(".")[2] == "1"]
        # The route comes back.
        self.configure([self.route(0), self.route(1)])
        await asyncio.sleep(CONFIG_S)
        failures = sum(it["task"].startswith(failing) and it["how"] == "failed" for it in self.events("end"))
        _, shown = await self.state(failing, queue=1)
        is_failed_early = shown == "failed" and failures < self.queues[1]["max_attempts"]
        why = f"{len(self.done_of(job))} ends done of the first job, {len(starts)} starts of its second step; the second job is shown as {shown} after {failures} failed ends of {self.queues[1]['max_attempts']}"
        return len(starts) > 0 and not is_failed_early, why

    def done_of(self, job):
        return [it for it in self.events("end") if it["task"].startswith(job) and it["how"] == "done"]


play(Case(HERE))

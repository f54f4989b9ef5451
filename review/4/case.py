"""LOST: many jobs wait for the one executor of a kind, and a job that any executor can run isn't started."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from world import FINISH_S, IDLE_S, World, play

# Jobs of two independent steps each, a second; the calm rate of the site's first kind of request is 5.
JOBS_A_SECOND = 8
JOBS = 225
FEW_JOBS = 100


class Case(World):
    executors_n = 10
    queues = [{"priority": 0, "max_attempts": 3}, {"priority": 2, "max_attempts": 3}]

    def labels_of(self, i):
        return ["b" if i == 0 else "a", f"r1-{i // 2}"]

    async def run(self):
        phase = {"count": 1, "cpu": 16000, "mem_mb": 4000, "estimate_ms": 4000, "requirements": "b"}
        for _ in range(JOBS if self.has_trouble else FEW_JOBS):
            await self.submit([phase, phase], {"ms": 4000})
            await asyncio.sleep(1 / JOBS_A_SECOND)
        job = await self.submit([{"count": 2, "cpu": 2000, "mem_mb": 2000, "estimate_ms": 1000}], {"ms": 1000}, queue=1)
        await asyncio.sleep(FINISH_S + IDLE_S)
        _, shown = await self.state(job, queue=1)
        others = [it for it in self.events("start") if it["executor"] != "executor-0" and not it["task"].startswith(job)]
        starts = len(self.starts_of(job))
        return starts > 0, f"{starts} starts of the job, state {shown}; {len(others)} other starts on the {self.executors_n - 1} executors that it could use"


play(Case(HERE))

"""BUDGET: a task brings down each executor that starts it, some seconds after the start."""

import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from world import World, play

TASK_MS = 9000
CRASH_AFTER_MS = 6500
# The rule is broken by the third start after three crashes.
CRASHES = 3
MORE_STARTS = 3
WATCH_S = 100


class Case(World):
    executors_n = 8

    async def run(self):
        spec = {"ms": TASK_MS}
        if self.has_trouble:
            spec["crash_after_ms"] = CRASH_AFTER_MS
        job = await self.submit([{"count": 1, "cpu": 2000, "mem_mb": 4000, "estimate_ms": TASK_MS}], spec)
        if not self.has_trouble:
            await self.until(lambda: any(it["how"] == "done" for it in self.events("end")), 30)
        else:
            await self.until(lambda: self.starts_after_crashes(job) >= MORE_STARTS, WATCH_S)
        _, shown = await self.state(job)
        more = self.starts_after_crashes(job)
        return more < MORE_STARTS, f"{len(self.starts_of(job))} starts, {more} of them after {CRASHES} executors had crashed; state {shown}"

    def starts_after_crashes(self, job):
        crashes = [it for it in self.events("executor_crashed") if it["by"].startswith(job)]
        if len(crashes) < CRASHES:
            return 0
        return sum(it["at_s"] > crashes[CRASHES - 1]["at_s"] for it in self.starts_of(job))


play(Case(HERE))

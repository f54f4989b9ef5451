"""LOST: a queue's policy allows only some executors, and a job of the queue is never started."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))

from advice import Advice
from world import FINISH_S, IDLE_S, World, play

RACKS = 5
RACK_EXECUTORS = 8
LARGE_RACKS = 4
RECOMMENDATION = {"decision_ms": 20, "per_worker_ms": 1, "validity_ms": 3000}


class Case(World):
    executors_n = RACKS * RACK_EXECUTORS
    queues = [{"priority": 0, "max_attempts": 3, "recommendation": RECOMMENDATION}]

    def capacity_of(self, i):
        scale = 1.5 if i < LARGE_RACKS * RACK_EXECUTORS else 1
        return {key: int(n * scale) for key, n in self.capacity.items()}

    def labels_of(self, i):
        return ["a", f"r1-{i // RACK_EXECUTORS}"]

    def needs_ticket(self, task):
        return True

    def allows(self, id):
        rack = "r1-4" if self.has_trouble else "r1-0"
        return any(it.id == id and rack in it.labels for it in self.executors)

    def advised(self, step, workers, approved):
        self.calls += 1
        racks = sorted({it.labels[-1] for it in self.executors if it.id in workers})
        self.record("advice", step=step, asked=len(workers), racks=racks, approved=len(approved))

    async def boot(self):
        self.calls = 0
        advice = Advice(self.allows, **RECOMMENDATION, on_call=self.advised)
        self.advice_address = await advice.server.start()
        await super().boot()

    async def run(self):
        jobs = [await self.submit([{"count": 2, "cpu": 2000, "mem_mb": 2000, "estimate_ms": 1000}], {"ms": 1000}) for _ in range(3)]
        await asyncio.sleep(FINISH_S + IDLE_S)
        states = [(await self.state(it))[1] for it in jobs]
        starts = sum(len(self.starts_of(it)) for it in jobs)
        asked = {it["step"]: tuple(it["racks"]) for it in self.events("advice")}
        return all(self.starts_of(it) for it in jobs), f"{starts} starts of {len(jobs)} jobs, states {states}; {self.calls} calls for advice, racks asked about {sorted(set(asked.values()))}"


play(Case(HERE))

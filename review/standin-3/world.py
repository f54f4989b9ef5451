"""A small deployment on loopback addresses: a store, executors, entry instances and clients. Runs one case in it."""

import asyncio
import os
import shutil
import sys
import tempfile
import traceback

from clients import Clients
from executors import Executor
from fleet import PROGRAM, Instance, Record, configuration
from store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115
WARM_UP_S = 15
SERVICE = "desk"
# Queues of two tenants: name, host, path prefix.
ROUTES = [("queue-a", "a.example", "/plans/"), ("queue-b", "b.example", "/quotes/")]
CAPACITY = {"cpu": 32000, "mem_mb": 125000, "gpu": 0}


class World:
    def __init__(self, folder, instances=3, executors=6, memory_mb=260, capacity=CAPACITY):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.logs = tempfile.mkdtemp(prefix="review-3-")
        self.sizes = (instances, executors, memory_mb, capacity)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = Store()
        self.executors = []
        self.instances = []
        self.watches = []
        self.clients = None

    async def start(self):
        instances, executors, memory_mb, capacity = self.sizes
        await self.store.start()
        self.store.put("keyed.op", "config", configuration(1, ROUTES, SERVICE))
        self.executors = [Executor(self.store, self.record, SERVICE, capacity) for _ in range(executors)]
        for it in self.executors:
            await it.start()
        self.instances = [Instance(i, self.logs, self.store.address, self.record, memory_mb) for i in range(instances)]
        for it in self.instances:
            it.start()
            self.watches.append(asyncio.create_task(it.watch()))
        self.clients = Clients([it.address for it in self.instances], self.record)
        # Ready once a job has run from end to end.
        probe = await self.clients.submit(*ROUTES[0][1:], job(1, work_ms=50))
        state = await self.clients.wait_for(*ROUTES[0][1:], probe, ["completed"], WARM_UP_S)
        if state != "completed":
            raise RuntimeError("the deployment does not run a job")

    def owner(self):
        """Returns the instance that owns the partition, or None."""
        name = self.store.owner().partition("@")[0]
        return next((it for it in self.instances if it.name == name), None)

    def started(self, prefix):
        """Returns the lines of the record that tell of starts of tasks whose names begin with the prefix."""
        return [it for it in self.record.lines if f" start {prefix}" in it]

    def stop(self):
        for it in self.instances:
            it.end()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.logs)
        else:
            shutil.rmtree(self.logs, ignore_errors=True)


def job(count, work_ms=300, cpu=500, steps=1, **fields):
    phases = [{"count": count, "cpu": cpu, "mem_mb": 64, "estimate_ms": work_ms} for _ in range(steps)]
    return {"spec": f"work={work_ms}", "phases": phases, **fields}


def run_case(folder, play, **sizes):
    """Plays the case, a coroutine function from World to a list of findings, and exits as the review asks."""
    if not os.path.exists(PROGRAM):
        print("the build of the deploy file is missing:", PROGRAM)
        sys.exit(NOT_RUN)
    world = World(folder, **sizes)

    async def play_all():
        await world.start()
        return await play(world)

    try:
        findings = asyncio.run(asyncio.wait_for(play_all(), LIMIT_S))
    except Exception:
        traceback.print_exc()
        world.record("the case could not run: " + traceback.format_exc().replace("\n", " | "))
        sys.exit(NOT_RUN)
    finally:
        world.stop()
    for it in findings:
        world.record("BROKEN " + it)
        print("BROKEN", it)
    world.record("broken" if findings else "held")
    print("broken" if findings else "held")
    sys.exit(BROKEN if findings else HELD)

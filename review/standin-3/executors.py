"""Stand-ins of executors: fencing tokens, leases, runs and their ends, as the pages describe them."""

import asyncio
import itertools
import json
import time

from web import Response, Server

HEARTBEAT_S = 0.9
ENDS_OF_REPORT = 500


# Figures that running tasks report: the tail of one that serves, in ms, and the processor use of any other.
TAIL_MS = 12
USED_MILLICORES = 800
FOREVER_MS = 1 << 40


def work_ms(spec):
    """The stand-in clients write into the spec how long each task works, as "work=MS", or that it serves."""
    if "serves" in spec.split():
        return FOREVER_MS
    for word in spec.split():
        if word.startswith("work="):
            return int(word[len("work="):])
    return 200


class Executor:
    ids = itertools.count(1)

    def __init__(self, store, record, service, capacity, max_lease_ms=6000):
        self.id = f"i-{next(Executor.ids):08x}"
        self.store = store
        self.record = record
        self.service = service
        self.capacity = capacity
        self.max_lease_ms = max_lease_ms
        self.server = Server(self.handle)
        self.booted_at = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0
        self.running = {}
        self.ended = []
        self.ends = 0
        self.highest = {}
        self.sequence = 0

    async def start(self):
        await self.server.start()
        asyncio.create_task(self.register())
        asyncio.create_task(self.advance())

    async def register(self):
        while True:
            self.sequence += 1
            entry = {
                "service": self.service, "address": self.server.address, "zone": "z0", "version": "v1", "slots": 8,
                "state": "ready", "cold_left_ms": 0, "capacity": self.capacity, "labels": ["a", "r0-1"],
                "clock_ms": self.clock_ms(), "sequence": self.sequence,
            }
            self.store.put("keyed.servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    def clock_ms(self):
        return int((time.monotonic() - self.booted_at) * 1000)

    async def advance(self):
        while True:
            self.settle()
            await asyncio.sleep(0.01)

    def settle(self):
        """Ends what is over by now."""
        now = self.clock_ms()
        for task, run in list(self.running.items()):
            if now >= self.lease_until_ms:
                self.end(task, "lapsed")
            elif now >= run["ends_ms"]:
                self.end(task, run["how"])

    def end(self, task, how):
        run = self.running.pop(task)
        self.ends += 1
        self.highest[task] = max(self.highest.get(task, 0), run["number"])
        self.ended.append([self.ends, task, run["number"], how, ""])
        self.record(f"{self.id} end {task} run {run['number']} {how}")

    def answer(self, status, **fields):
        return Response(status, json.dumps({"clock_ms": self.clock_ms(), **fields}).encode())

    async def handle(self, request):
        expected = request.headers.get("plantainhold-expect-instance", self.id)
        if expected != self.id:
            return Response(421)
        body = json.loads(request.body or b"{}")
        self.settle()
        if body.get("fencing_token", 0) < self.token:
            return self.answer(409, reason="fence")
        self.token = body.get("fencing_token", 0)
        handler = {"/api/run-start": self.run_start, "/api/run-stop": self.run_stop, "/api/hold": self.hold, "/api/pace": self.pace}
        return await handler[request.path](body)

    def extend(self, deadline_ms):
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms, self.clock_ms() + self.max_lease_ms))

    async def run_start(self, body):
        task, number = body["task"], body["run_id"]
        present = self.running.get(task)
        if present and present["number"] == number:
            return self.answer(200)
        if body["deadline_ms"] <= self.clock_ms():
            return self.answer(409, reason="late")
        self.extend(body["deadline_ms"])
        if number <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        self.record(f"{self.id} start {task} run {number} token {body['fencing_token']} spec {body['spec'][:60]}")
        now = self.clock_ms()
        self.running[task] = {"number": number, "started_ms": now, "ends_ms": now + work_ms(body["spec"]), "how": "done", "spec": body["spec"]}
        return self.answer(200)

    async def run_stop(self, body):
        task, number = body["task"], body["run_id"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run and run["number"] == number and run["how"] != "stopped":
            self.record(f"{self.id} stop {task} run {number}")
            run.update(how="stopped", ends_ms=min(run["ends_ms"], self.clock_ms() + 100))
        return self.answer(200)

    def row(self, task, run):
        if "serves" in run["spec"].split():
            return [task, run["number"], "", 100, TAIL_MS]
        worked = self.clock_ms() - run["started_ms"]
        return [task, run["number"], "", min(99, 100 * worked // max(1, run["ends_ms"] - run["started_ms"])), USED_MILLICORES]

    async def pace(self, body):
        return self.answer(200)

    async def hold(self, body):
        cursor = body.get("ack_cursor", 0)
        self.ended = [it for it in self.ended if it[0] > cursor]
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        until = time.monotonic() + body.get("wait_ms", 0) / 1000
        known = self.ends
        while time.monotonic() < until and self.ends == known and not self.ended:
            await asyncio.sleep(0.01)
        running = [self.row(task, it) for task, it in self.running.items()]
        return self.answer(200, running=running, finished=self.ended[:ENDS_OF_REPORT])

"""Stand-in of one machine that runs tasks: a life follows a life, each with its own id or with the same one.

What a task does is said by its spec, a JSON text: "ms" is how long it works (0: until it is stopped), "ends" how
it ends ("done" if left out).
"""

import asyncio
import json
import time
import uuid

from http11 import Server

ENDS_A_LIST = 500
# Longer than any caller waits.
SILENCE_S = 30


class Run:
    def __init__(self, task, number, spec, work_s):
        self.task = task
        self.number = number
        self.spec = spec
        self.work_s = work_s
        self.started = time.monotonic()
        self.is_stopping = False
        self.timer = None


class Executor:
    def __init__(self, world, name, capacity, labels, stop_s=0.2, back_s=2.0):
        self.world = world
        self.name = name
        self.capacity = capacity
        self.labels = labels
        self.stop_s = stop_s
        self.back_s = back_s
        self.is_up = False
        self.is_silent = False
        # Set where other programs reach the executor through a proxy, and where it closes each connection after
        # one call.
        self.proxy = None
        self.closes_connections = False
        # How long a report takes on its way back.
        self.report_s = 0.0
        self.sequence = 0
        self.port = world.free_port()
        self.beats = None

    async def start(self, keeps_id=False):
        if not keeps_id:
            self.id = "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.token = 0
        self.deadline = 0.0
        self.running = {}
        self.finished = []
        self.ends = 0
        self.acked = 0
        self.over = {}
        self.changed = asyncio.Event()
        self.server = Server(self.handle, self.closes_connections)
        address = await self.server.start(self.port)
        if self.proxy:
            self.proxy.target = address
        self.is_up = True
        self.world.record("executor_up", executor=self.name, id=self.id, address=self.address(), labels=self.labels, capacity=self.capacity)
        self.beat()
        self.beats = asyncio.create_task(self.keep_beating())
        self.reaper = asyncio.create_task(self.watch_lease())

    def address(self):
        """Returns the address that the executor tells others."""
        return self.proxy.address if self.proxy else self.server.address

    def beat(self):
        self.sequence += 1
        entry = {"service": self.world.service, "address": self.address(), "zone": "z-a", "version": "v1", "slots": 8,
                 "state": "ready", "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels,
                 "clock_ms": self.clock(), "born": self.born, "sequence": self.sequence}
        self.world.store.put("keyed.servers", self.id, json.dumps(entry).encode())

    async def keep_beating(self):
        while True:
            await asyncio.sleep(self.world.heartbeat_s)
            self.beat()

    async def expire_entry(self, key):
        await asyncio.sleep(3 * self.world.heartbeat_s)
        self.world.store.put("keyed.servers", key, b"")

    def clock(self):
        return int((time.monotonic() - self.zero) * 1000) + 1000

    def crash(self, cause, keeps_id=False):
        """Ends this life: nothing runs any more. Another one begins after back_s, under a new id or the same one."""
        if not self.is_up:
            return
        self.is_up = False
        self.world.record("executor_crashed", executor=self.name, id=self.id, by=cause)
        self.end_life()
        if not keeps_id:
            asyncio.create_task(self.expire_entry(self.id))
        asyncio.create_task(self.come_back(keeps_id))

    def go_dark(self):
        """Ends this life for good and without a word: open connections stay so, but nothing answers on them."""
        self.is_up = False
        self.is_silent = True
        self.world.record("executor_dark", executor=self.name, id=self.id)
        self.end_life(is_silent=True)
        asyncio.create_task(self.expire_entry(self.id))

    def end_life(self, is_silent=False):
        for it in (self.beats, self.reaper):
            it.cancel()
        for run in self.running.values():
            if run.timer:
                run.timer.cancel()
            self.world.ended(self, run, "crashed")
        self.running.clear()
        self.server.stop(is_silent)

    async def come_back(self, keeps_id):
        await asyncio.sleep(self.back_s)
        await self.start(keeps_id)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.deadline:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        if run.timer:
            run.timer.cancel()
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.ends += 1
        self.finished.append([self.ends, run.task, run.number, how, ""])
        self.world.ended(self, run, how, self.ends)
        self.changed.set()
        self.changed = asyncio.Event()

    def used(self):
        total = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        for run in self.running.values():
            for key, n in self.world.demand(run.task).items():
                total[key] += n
        return total

    def raise_deadline(self, body):
        if body.get("deadline_ms"):
            self.deadline = max(self.deadline, min(body["deadline_ms"], self.clock() + self.world.hold_max_ms))

    async def handle(self, request):
        if self.is_silent:
            await asyncio.sleep(SILENCE_S)
            return None
        if request.path == "/health":
            return 200, {}
        wanted = request.headers.get("plantainhold-expect-instance")
        if wanted and wanted != self.id:
            return 421, {"clock_ms": self.clock()}
        body = request.json()
        handlers = {"/api/run-start": self.run_start, "/api/run-stop": self.run_stop, "/api/hold": self.hold, "/api/pace": self.pace}
        handler = handlers.get(request.path)
        if not handler:
            return 404, {}
        if body.get("fencing_token", 0) < self.token:
            self.world.record("refused", executor=self.name, call=request.path, reason="fence", token=body.get("fencing_token", 0))
            return self.refusal("fence")
        self.token = body.get("fencing_token", 0)
        answer = await handler(body)
        if self.is_silent:
            await asyncio.sleep(SILENCE_S)
            return None
        return answer

    def refusal(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    async def run_start(self, body):
        task, number = body["task"], body["run_id"]
        present = self.running.get(task)
        if present and present.number == number:
            return 200, {"clock_ms": self.clock()}
        if body["deadline_ms"] <= self.clock():
            return self.refusal("late")
        if number <= self.over.get(task, 0) or present:
            self.raise_deadline(body)
            return self.refusal("old")
        if self.world.needs_ticket(task) and body.get("ticket") != f"ticket-{self.id}":
            self.raise_deadline(body)
            return self.refusal("ticket")
        demand = self.world.demand(task)
        used = self.used()
        exceeds = any(used[key] + n > self.capacity[key] for key, n in demand.items())
        if exceeds and self.world.enforces_capacity:
            self.raise_deadline(body)
            return self.refusal("room")
        self.raise_deadline(body)
        spec = json.loads(body["spec"]) if body["spec"].startswith("{") else {}
        run = Run(task, number, body["spec"], spec.get("ms", 1000) / 1000)
        self.running[task] = run
        self.world.started(self, run, used, exceeds)
        if run.work_s:
            run.timer = asyncio.get_running_loop().call_later(run.work_s, self.end, run, spec.get("ends", "done"))
        return 200, {"clock_ms": self.clock()}

    async def run_stop(self, body):
        task, number = body["task"], body["run_id"]
        run = self.running.get(task)
        if run and run.number == number and not run.is_stopping:
            run.is_stopping = True
            self.world.record("stop", executor=self.name, task=task, run=number)
            asyncio.get_running_loop().call_later(self.stop_s, self.end, run, "stopped")
        if not run:
            self.over[task] = max(self.over.get(task, 0), number)
        return 200, {"clock_ms": self.clock()}

    async def pace(self, body):
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        self.raise_deadline(body)
        self.world.held(self)
        cursor = body.get("ack_cursor", 0)
        if cursor:
            self.world.noted(self, cursor)
        if cursor > self.acked:
            self.acked = cursor
            self.finished = [it for it in self.finished if it[0] > cursor]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if wait and not self.finished:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except TimeoutError:
                pass
        if self.report_s:
            await asyncio.sleep(self.report_s)
        running = [[it.task, it.number, "", self.percent(it), 0] for it in self.running.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "finished": self.finished[:ENDS_A_LIST]}

    @staticmethod
    def percent(run):
        return min(99, int(100 * (time.monotonic() - run.started) / run.work_s)) if run.work_s else 100

"""A small deployment on loopback addresses: the store, executors, instances of the jobs daemon, and callers."""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import uuid

from executor import Executor
from http11 import call
from store import RECORD_BYTES, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = "target/bin/plantainhold-jobsd"
HELD, BROKEN, NOT_RUN = 0, 1, 2
RECORDED_REFUSALS = 5
POLL_S = 0.02
PORTS = (12000, 32000)
READY_TRIES = 200
# Jobs are judged this long after the last one was handed in, and after as long as one may have nothing running.
FINISH_S = 14
IDLE_S = 3


def free_port():
    """Returns a port below those that the system gives to outgoing connections, so that it stays free."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as it:
            try:
                it.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Instance:
    """One process of the daemon, started with the command of the deploy file."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.process = None
        self.choose_ports()

    def choose_ports(self):
        self.callers, self.readiness, self.metrics, self.peers = (f"127.0.0.1:{free_port()}" for _ in range(4))

    def settings(self):
        bounds = self.world.bounds
        text = (ROOT / "deploy/settings.toml").read_text()
        values = {
            "node_name": self.name, "zone": "z-a", "bounds.grace_s": 6, "limits.cpu_share": 1, "limits.cores": 1,
            "listen.frontend": self.callers, "listen.readiness": self.readiness, "ip": "127.0.0.1",
            "port_range.0": self.metrics.split(":")[1], "port_range.1": self.peers.split(":")[1],
            "platform.address": self.world.store.server.address, "platform.parts": 8, "platform.ttl_min_ms": 1000,
            "recommendation": self.world.advice_address, "cloud_api.address": "", "bounds.hold_max_ms": self.world.hold_max_ms,
            "bounds.drain_ms": bounds["drain_ms"], "bounds.stop_timeout_ms": bounds["stop_timeout_ms"],
            "bounds.interference_ms": bounds["interference_ms"], "bounds.status_s": bounds["status_s"],
        }
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        return text

    async def start(self):
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(self.settings())
        log = open(self.world.folder / f"{self.name}.out", "ab")
        environment = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        environment["PLANTAINHOLD_BOOT"] = str(path)
        self.process = await asyncio.create_subprocess_exec(PROGRAM, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.world.record("instance_started", instance=self.name)

    def send(self, number):
        self.world.record("signal", instance=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def restart(self):
        await self.process.wait()
        self.world.record("instance_ended", instance=self.name, code=self.process.returncode)
        await self.start()

    def is_running(self):
        return self.process is not None and self.process.returncode is None


class World:
    """Subclasses set the class's fields, and override run(), which returns whether the rule held."""

    executors_n = 6
    capacity = {"cpu": 32000, "mem_mb": 128000, "gpu": 0}
    instances_n = 3
    enforces_capacity = True
    heartbeat_s = 1.1
    hold_max_ms = 10000
    stop_s = 0.2
    back_s = 2.0
    queues = [{"priority": 0, "max_attempts": 3}]
    bounds = {"drain_ms": 2000, "stop_timeout_ms": 900, "interference_ms": 4000, "status_s": 120}

    def __init__(self, case):
        self.case = pathlib.Path(case)
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.service = "huvo11a"
        self.store = Store(on_refused=self.append_refused)
        self.executors = []
        self.instances = []
        self.jobs = {}
        self.zero = time.monotonic()
        self.log = []
        self.version = 0
        self.advice_address = ""

    def at(self):
        return round(time.monotonic() - self.zero, 3)

    def record(self, event, **fields):
        self.log.append({"at_s": self.at(), "event": event, **fields})

    def held(self, executor):
        """Called when an executor has received a call for its report, which may have prolonged its lease."""

    def noted(self, executor, number):
        """Called when an executor has received the acknowledgement of its ends up to this number."""

    def append_refused(self, topic, largest):
        """Called when the store refused an append because of a record of `largest` bytes; the first are recorded."""
        if self.store.refused <= RECORDED_REFUSALS:
            self.record("append_refused", topic=topic, record_bytes=largest, limit=RECORD_BYTES)

    def started(self, executor, run, used, exceeds):
        self.record("start", executor=executor.name, id=executor.id, task=run.task, run=run.number)

    def ended(self, executor, run, how, number=0):
        self.record("end", executor=executor.name, id=executor.id, task=run.task, run=run.number, how=how, number=number)

    def phase_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["phases"][int(step)]

    def needs_ticket(self, task):
        return False

    def demand(self, task):
        phase = self.phase_of(task)
        return {key: phase.get(key, 0) for key in ("cpu", "mem_mb", "gpu")}

    def route(self, i):
        queue = {"name": f"r-{i}", "host": f"host{i}.example", "path_prefix": f"/queue{i}/", "kind": "non_idempotent", "timeout_ms": 3000,
                 "target_latency_ms": 1000, "service": self.service, "deadline_factor": 2.0}
        return {**queue, **self.queues[i]}

    def configure(self, routes):
        self.version += 3
        config = {"version": self.version, "routes": routes,
                  "services": [{"name": self.service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": False,
                                "enforces_capacity": self.enforces_capacity, "standby": False}],
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record("config", version=self.version, routes=[it["name"] for it in routes])

    def serving(self):
        return [it for it in self.instances if it.is_running()]

    async def request(self, method, path, host, body=None, deadline_ms=3000):
        """Calls running instances in turn until one answers with something other than 502, 503 or 504; at most 8 times."""
        status, answer = 0, None
        for attempt in range(8):
            instances = self.serving()
            it = instances[attempt % len(instances)]
            status, answer = await call(it.callers, method, path, host, body, deadline_ms / 1000, {"Plantainhold-Deadline-Ms": deadline_ms})
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.4)
        return status, answer

    async def submit(self, phases, spec, queue=0, **more):
        job = uuid.uuid4().hex[:16]
        body = {"spec": json.dumps(spec), "phases": phases, **more}
        self.jobs[job] = body
        route = self.route(queue)
        status, _ = await self.request("POST", route["path_prefix"] + job, route["host"], body)
        self.record("submit", job=job, queue=queue, status=status, spec=body["spec"], phases=phases, **more)
        if status != 200:
            raise RuntimeError(f"job {job} was not accepted: {status}")
        return job

    async def cancel(self, job, queue=0):
        route = self.route(queue)
        status, _ = await self.request("DELETE", route["path_prefix"] + job, route["host"])
        self.record("cancel", job=job, status=status)
        return status

    async def state(self, job, queue=0):
        route = self.route(queue)
        status, answer = await self.request("GET", route["path_prefix"] + job, route["host"])
        shown = answer.get("state") if status == 200 and answer else None
        self.record("state", job=job, status=status, shown=shown)
        return status, shown

    async def owner(self):
        """Returns the instance that owns the partition, by what the store says of its group."""
        group = self.store.groups.get("owners")
        if group:
            self.store.expire(group)
        holders = group.holders if group else {}
        for (_, part), member in holders.items():
            if part == 0:
                return next((it for it in self.instances if it.peers in member), None)
        return None

    async def until(self, condition, timeout_s):
        """Returns whether the condition became true in time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(POLL_S)
        return condition()

    def events(self, event):
        return [it for it in self.log if it["event"] == event]

    def starts_of(self, job):
        return [it for it in self.log if it["event"] == "start" and it["task"].startswith(job + ".")]

    async def add_executor(self):
        i = len(self.executors)
        it = Executor(self, f"executor-{i}", self.capacity_of(i), self.labels_of(i), self.stop_s, self.back_s)
        self.executors.append(it)
        await it.start()

    async def boot(self):
        if not (ROOT / PROGRAM).exists():
            raise RuntimeError(f"{PROGRAM} is not built")
        await self.store.start()
        self.configure([self.route(i) for i in range(len(self.queues))])
        for _ in range(self.executors_n):
            await self.add_executor()
        for i in range(self.instances_n):
            it = Instance(self, f"instance-{i}")
            self.instances.append(it)
            await it.start()
        for _ in range(READY_TRIES):
            for it in self.instances:
                if not it.is_running():
                    # Another process took one of its ports meanwhile.
                    self.record("instance_ended", instance=it.name, code=it.process.returncode)
                    it.choose_ports()
                    await it.start()
            ready = [(await call(it.readiness, "GET", "/api/ready", "x", timeout=1))[0] == 200 for it in self.instances]
            if all(ready) and await self.owner():
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError("the instances did not become ready")
        await asyncio.sleep(2)
        self.record("ready", owner=(await self.owner()).name)

    @staticmethod
    def free_port():
        return free_port()

    def capacity_of(self, i):
        return self.capacity

    def labels_of(self, i):
        return ["a", f"r1-{i // 2}"]

    async def run(self):
        raise NotImplementedError

    async def main(self):
        try:
            await self.boot()
            held, why = await self.run()
            self.record("verdict", held=held, why=why)
            print(("held: " if held else "BROKEN: ") + why)
            return HELD if held else BROKEN
        except (RuntimeError, OSError) as error:
            self.record("not_run", error=str(error))
            print("not run:", error)
            return NOT_RUN
        finally:
            for it in self.instances:
                if it.is_running():
                    it.process.kill()
                    await it.process.wait()
            for it in self.executors:
                it.server.stop()
            self.store.server.stop()
            (self.case / "record.txt").write_text("".join(json.dumps(it) + "\n" for it in self.log))
            if os.environ.get("KEEP"):
                print("logs:", self.folder)
            else:
                shutil.rmtree(self.folder, ignore_errors=True)


def play(world):
    sys.exit(asyncio.run(world.main()))

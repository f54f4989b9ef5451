"""A small stand-in of the users' platform, for the scripts beside this folder.

It plays the metadata store, the executors and the callers in one process, on
loopback addresses and the real clock, as PROTOCOL.md describes them, and
starts plantainhold-jobsd as separate processes. Standard library only.

What the pages leave open is answered as a well-behaved platform would:
 - a request with a record over record_bytes, or over call_bytes in total, is
   answered 400, and nothing of it is stored;
 - an empty append sets the epoch and counts as no sequence number;
 - everything that an executor is told is applied when it arrives.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# As in deploy/system.toml.
PROGRAM = "target/bin/plantainhold-jobsd"

# Bounds of a small deployment: the figures of sites/aampts-lessons.toml.
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_TIMEOUT_MS = 900
GANG_TIMEOUT_MS = 3000
STABILITY_S = 3.0
CANCEL_S = 3.0
DRAIN_MS = 2000
GRACE_S = 6
STATUS_S = 120
TTL_MIN_MS = 1000
PARTITIONS = 8
APPEND_S = 0.004
RECORD_BYTES = 262144
CALL_BYTES = 2097152
INTERFERENCE_MS = 4000

# An address of its own for each run, so that no other program takes a port between its choice and its use.
HOST = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"


_next_port = 10000


def free_port():
    """Returns a port of HOST that is free, and never the same one twice.

    It lies below the ports that the system gives to outgoing connections.
    """
    global _next_port
    while True:
        _next_port += 1
        with socket.socket() as it:
            try:
                it.bind((HOST, _next_port))
            except OSError:
                continue
            return _next_port


class Record:
    """Writes what was sent, answered and run, one line each, to record.txt."""

    def __init__(self, path):
        self._out = open(path, "w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def line(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._out.write(f"{self.now():8.3f} {what} {text}\n")
        self._out.flush()

    def close(self):
        self._out.close()


class HttpServer:
    """Serves HTTP/1.1 with keep-alive; `handle(request)` returns (status, body)."""

    def __init__(self, handle, port=None):
        self._handle = handle
        self.port = port or free_port()
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=1 << 22)

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    def abort(self):
        """Closes the listener and resets all connections, as a killed process would."""
        if self._server:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                method, target, _ = request["first"].split(" ", 2)
                path, _, query = target.partition("?")
                request.update(method=method, path=path, query=dict(urllib.parse.parse_qsl(query, keep_blank_values=True)))
                answer = await self._handle(request)
                if answer is None:
                    writer.transport.abort()
                    break
                status, body = answer
                if isinstance(body, (dict, list)):
                    body = json.dumps(body).encode()
                    content = "application/json"
                else:
                    content = "application/octet-stream"
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: {content}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


async def read_message(reader):
    """Reads one request or response; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for it in lines[1:]:
        if it:
            key, _, value = it.partition(":")
            headers[key.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return {"first": lines[0], "headers": headers, "body": body}


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Makes one HTTP call on a connection of its own; returns (status, body) or None without a response."""
    async def exchange():
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, "Content-Type": "application/json", "Content-Length": str(len(data)), "Connection": "close"}
            fields.update(headers or {})
            lines += [f"{key}: {value}" for key, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
        finally:
            writer.transport.abort()
        if message is None:
            return None
        try:
            parsed = json.loads(message["body"]) if message["body"] else {}
        except ValueError:
            parsed = {}
        return int(message["first"].split(" ")[1]), parsed
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class Link:
    """The way from the system's machines to one executor: a proxy that can be cut, silently and both ways."""

    def __init__(self, target_port):
        self._target_port = target_port
        self._server = None
        self._writers = set()
        self._is_cut = False
        self.port = free_port()

    async def start(self):
        """Begins to listen. Without effect if it does already."""
        if not self._server:
            self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def cut(self):
        self._is_cut = True

    def heal(self):
        """Lets new connections through. Those from before the end of the cut are lost."""
        self._is_cut = False
        self.abort()

    def abort(self):
        for writer in list(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        if self._is_cut:
            return
        try:
            inner_reader, inner_writer = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(inner_writer)
        try:
            await asyncio.gather(self._pump(reader, inner_writer), self._pump(inner_reader, writer))
        except asyncio.CancelledError:
            pass
        self._writers.discard(writer)
        self._writers.discard(inner_writer)

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if self._is_cut:
                    return
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if not self._is_cut:
            writer.transport.abort()


class Partition:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.writers = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def admit(self, producer, epoch, sequence):
        """Returns None if the append may go ahead, or else the response."""
        writer = self.writers.get(producer)
        if writer and epoch < writer["epoch"]:
            return 409, {"reason": "fenced"}
        if not writer or epoch > writer["epoch"]:
            self.writers[producer] = {"epoch": epoch, "last": None, "recent": {}}
            return None
        if writer["last"] is None or sequence == writer["last"] + 1:
            return None
        if sequence in writer["recent"]:
            return writer["recent"][sequence]
        return 409, {"reason": "seq", "sequence": writer["last"] + 1, "end_offset": len(self.records)}

    def append(self, records, keyed):
        first = len(self.records)
        for it in records:
            if keyed:
                size = it[0]
                key, value = it[1:1 + size].decode("latin-1"), it[1 + size:]
                if value:
                    self.newest[key] = (value, len(self.records))
                else:
                    self.newest.pop(key, None)
            self.records.append(it)
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"offset": first, "end_offset": len(self.records)}


class Group:
    """Deals partitions evenly among the members that name their topic."""

    def __init__(self):
        self.members = {}
        self.order = []
        self.assigned = {}
        self.generation = 0

    def expire(self):
        now = time.monotonic()
        gone = [name for name, it in self.members.items() if it["seen"] + it["ttl"] < now]
        for name in gone:
            self._drop(name)
        if gone:
            self._deal()

    def _drop(self, name):
        del self.members[name]
        self.order.remove(name)

    def _deal(self):
        self.generation += 1
        for it in self.members.values():
            for topic in it["topics"]:
                for part in range(PARTITIONS):
                    self.assigned.setdefault((topic, part), {"holder": None, "target": None, "since": 0})
        for (topic, part), it in self.assigned.items():
            names = [name for name in self.order if topic in self.members[name]["topics"]]
            target = names[part % len(names)] if names else None
            if it["target"] != target:
                it["target"], it["since"] = target, self.generation
            if it["holder"] not in self.members:
                it["holder"] = target

    def join(self, name, topics, ttl, generation):
        self.expire()
        is_new = name not in self.members
        changed = is_new or self.members[name]["topics"] != topics
        self.members[name] = {"topics": topics, "ttl": ttl, "seen": time.monotonic()}
        if is_new:
            self.order.append(name)
        if changed:
            self._deal()
        for it in self.assigned.values():
            if it["holder"] == name and it["target"] != name and generation >= it["since"]:
                it["holder"] = it["target"]
                self.generation += 1
        return self.generation, [[topic, part, 0] for (topic, part), it in self.assigned.items() if it["holder"] == name and it["target"] == name]

    def leave(self, name):
        self.expire()
        if name in self.members:
            self._drop(name)
            self._deal()

    def owners(self):
        self.expire()
        return [[topic, part, it["holder"], 0] for (topic, part), it in self.assigned.items() if it["holder"]]


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.partitions = {}
        self.groups = {}
        self.refused_appends = 0
        self.server = HttpServer(self._handle)

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic, key, value):
        """Stores what the operator or an executor writes."""
        data = json.dumps(value).encode() if value is not None else b""
        self.partition(topic).append([bytes([len(key)]) + key.encode() + data], True)

    def holder(self):
        """Returns the name of the instance that owns the partition, or None."""
        group = self.groups.get("owners")
        rows = group.owners() if group else []
        names = [row[2] for row in rows if row[1] == 0]
        return names[0].split("@")[0] if names else None

    async def _handle(self, request):
        path, query = request["path"], request["query"]
        if path == "/api/log-append":
            return await self._append(request)
        if path == "/api/log-read":
            return await self._read(query)
        if path == "/api/log-newest":
            return self._newest(query)
        if path == "/api/log-owners":
            return 200, {"parts": self.groups.setdefault(query.get("group"), Group()).owners()}
        if path in ("/api/log-join", "/api/log-leave"):
            body = json.loads(request["body"])
            group = self.groups.setdefault(body["group"], Group())
            if path == "/api/log-leave":
                group.leave(body["member"])
                return 200, {}
            generation, parts = group.join(body["member"], body["topic_list"], body["ttl_ms"] / 1000, body["generation"])
            return 200, {"generation": generation, "ttl_ms": body["ttl_ms"], "parts": parts}
        return 404, {}

    async def _append(self, request):
        query, body = request["query"], request["body"]
        records, at = [], 0
        while at < len(body):
            size = struct.unpack_from(">I", body, at)[0]
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        if any(len(it) > RECORD_BYTES for it in records) or sum(map(len, records)) > CALL_BYTES:
            self.refused_appends += 1
            if self.refused_appends <= 5:
                self.record.line("append_refused_too_large", topic=query["topic"], largest=max(map(len, records)), total=sum(map(len, records)))
            return 400, {}
        partition = self.partition(query["topic"], int(query["part"]))
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            if "producer" not in query:
                return partition.append(records, query["topic"].startswith("keyed."))
            producer, epoch, sequence = query["producer"], int(query["epoch"]), int(query["sequence"])
            refused = partition.admit(producer, epoch, sequence)
            if refused:
                return refused
            answer = partition.append(records, query["topic"].startswith("keyed."))
            if records:
                writer = partition.writers[producer]
                writer["last"] = sequence
                writer["recent"][sequence] = answer
                for old in list(writer["recent"])[:-5]:
                    del writer["recent"][old]
            return answer

    async def _read(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        first, until = int(query["from"]), time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while len(partition.records) <= first and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        out = [struct.pack(">QQ", len(partition.records), 0)]
        size, limit = 0, int(query.get("max_kb", "1024")) * 1024
        for it in partition.records[first:]:
            if size and size + len(it) > limit:
                break
            out.append(struct.pack(">I", len(it)) + it)
            size += len(it)
        return 200, b"".join(out)

    def _newest(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        keys = sorted(key for key in partition.newest if key > query.get("after", ""))
        items, size = [], 0
        for key in keys:
            value, offset = partition.newest[key]
            if len(items) >= 500 or size > 1 << 20:
                break
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return 200, {"items": items, "has_more": len(items) < len(keys), "end_offset": len(partition.records)}


class Executor:
    """One executor. The job's `spec`, a JSON text, tells how its tasks behave:

    work_ms: time until a run ends `done`; without it, a run lasts until it is stopped.
    fail: the runs end `failed` after that time.
    deadly: {"after_ms": time at work after which the executor crashes, "down_s": how long it is away}.
    checkpoint_bytes: the length of a checkpoint, of which each second of work makes a new one.
    target_ms: of a task that serves: its tail is this, divided by a headroom that each core of tasks that fill lessens.
    fills_cpu: of a task that fills: the thousandths of a core that it uses at full pace.
    """

    # Of a task that serves: target / tail without neighbours, and what a core in use by those that fill takes of it.
    HEADROOM = 4.0
    HEADROOM_PER_CORE = 0.05

    def __init__(self, platform, number, cpu=32000, mem_mb=125000, rack="r1-1", guards=True):
        self.platform = platform
        self.record = platform.record
        self.id = f"i-{number:08x}"
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.labels = ["a", rack]
        self.guards = guards
        self.port = free_port()
        self.is_up = False
        self.state = "ready"
        self.drains_until = 0.0
        self.has_left = False
        self.link = Link(self.port)
        self._reset()

    def _reset(self):
        self.born_unix_ms = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0
        self.running = {}
        self.finished = []
        self.next_end = 1
        self.ended_runs = {}
        self.sequence = 0
        self.changed = asyncio.Event()

    async def start(self):
        self._reset()
        self.server = HttpServer(self._handle, self.port)
        await self.server.start()
        await self.link.start()
        self.is_up = True
        self.platform.spawn(self._tick(self.born_unix_ms))
        self.record.line("executor_up", id=self.id, born=self.born_unix_ms)

    def crash(self, down_s):
        """Everything that runs there is gone; the executor is back after `down_s` under its id."""
        self.record.line("executor_crashes", id=self.id, runs=",".join(f"{task}/{it['run']}" for task, it in self.running.items()) or "-")
        for task, it in self.running.items():
            self.platform.ledger.over(task, it["run"], self, "crashed")
        self.is_up = False
        self.running = {}
        self.server.abort()
        self.platform.spawn(self._return(down_s))

    async def _return(self, down_s):
        await asyncio.sleep(down_s)
        await self.start()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def entry(self):
        self.sequence += 1
        entry = {"service": self.platform.service, "address": f"{HOST}:{self.link.port}", "zone": "z1", "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0, "capacity": self.capacity, "labels": self.labels, "clock_ms": self.clock_ms(), "born": self.born_unix_ms, "sequence": self.sequence}
        if self.state == "draining":
            entry["remaining_ms"] = max(0, int((self.drains_until - time.monotonic()) * 1000))
        return entry

    async def leave(self, after_s):
        """A planned shutdown: the executor drains, and leaves `after_s` later."""
        self.record.line("executor_drains", id=self.id)
        self.state = "draining"
        self.drains_until = time.monotonic() + after_s
        self.platform.store.put("keyed.servers", self.id, self.entry())
        await asyncio.sleep(after_s)
        self.record.line("executor_leaves", id=self.id, runs=len(self.running))
        for task, it in self.running.items():
            self.platform.ledger.over(task, it["run"], self, "left")
        self.is_up = False
        self.has_left = True
        self.running = {}
        self.server.abort()

    def used(self, key):
        return sum(it["needs"].get(key, 0) for it in self.running.values())

    def _end(self, task, how):
        it = self.running.pop(task)
        self.ended_runs[task] = max(it["run"], self.ended_runs.get(task, 0))
        self.finished.append([self.next_end, task, it["run"], how, it["saved"]])
        self.next_end += 1
        self.record.line("end", task=task, run=it["run"], executor=self.id, how=how)
        self.platform.ledger.over(task, it["run"], self, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _tick(self, born):
        while self.is_up and self.born_unix_ms == born:
            now, clock = time.monotonic(), self.clock_ms()
            if self.running and clock >= self.lease_until_ms:
                for task in list(self.running):
                    self._end(task, "lapsed")
            for task, it in list(self.running.items()):
                if task not in self.running:
                    continue
                worked = now - it["began"]
                behaviour = it["behaviour"]
                deadly = behaviour.get("deadly")
                if deadly and worked * 1000 >= deadly["after_ms"]:
                    self.crash(deadly["down_s"])
                    return
                if behaviour.get("checkpoint_bytes") and int(worked) > it["checkpoints"]:
                    it["checkpoints"] = int(worked)
                    it["saved"] = f"{int(worked):08x}" + "c" * (behaviour["checkpoint_bytes"] - 8)
                if it["stop_at"] is not None and now >= it["stop_at"]:
                    self._end(task, "stopped")
                elif "work_ms" in behaviour and worked * 1000 >= behaviour["work_ms"]:
                    self._end(task, "failed" if behaviour.get("fail") else "done")
            await asyncio.sleep(0.01)

    async def _handle(self, request):
        expected = request["headers"].get("plantainhold-expect-instance")
        if expected and expected != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        if request["path"] == "/health":
            return 200, {}
        body = json.loads(request["body"]) if request["body"] else {}
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
        self.token = max(self.token, body.get("fencing_token", 0))
        handlers = {"/api/run-start": self._run_start, "/api/run-stop": self._run_stop, "/api/hold": self._hold, "/api/pace": self._pace}
        handler = handlers.get(request["path"])
        return await handler(body) if handler else (404, {})

    def _extend(self, body):
        if "deadline_ms" in body:
            self.lease_until_ms = max(self.lease_until_ms, min(body["deadline_ms"], self.clock_ms() + HOLD_MAX_MS))

    def _refuse(self, reason):
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}

    async def _run_start(self, body):
        task, run = body["task"], body["run_id"]
        if body["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body)
        if task in self.running and self.running[task]["run"] == run:
            return 200, {"clock_ms": self.clock_ms()}
        if task in self.running or run <= self.ended_runs.get(task, 0):
            return self._refuse("old")
        needs = self.platform.ledger.needs(task)
        if self.guards and any(self.used(key) + needs.get(key, 0) > self.capacity[key] for key in self.capacity):
            return self._refuse("room")
        behaviour = json.loads(body["spec"])
        self.running[task] = {"run": run, "began": time.monotonic(), "needs": needs, "behaviour": behaviour, "saved": body.get("checkpoint", ""), "checkpoints": 0, "stop_at": None, "pace": 100}
        self.record.line("start", task=task, run=run, executor=self.id, token=body["fencing_token"])
        self.platform.ledger.started(task, run, self, body)
        return 200, {"clock_ms": self.clock_ms()}

    async def _run_stop(self, body):
        task, run = body["task"], body["run_id"]
        it = self.running.get(task)
        if it and it["run"] == run:
            it["stop_at"] = it["stop_at"] or time.monotonic() + 0.05
        else:
            self.ended_runs[task] = max(run, self.ended_runs.get(task, 0))
        return 200, {"clock_ms": self.clock_ms()}

    async def _pace(self, body):
        it = self.running.get(body["task"])
        if it and it["run"] == body["run_id"]:
            it["pace"] = body["percent"]
        return 200, {"clock_ms": self.clock_ms()}

    def _filling_cpu(self, it):
        return it["behaviour"].get("fills_cpu", 0) * it["pace"] / 100

    def _measured(self, it):
        """The tail of a task that serves, in whole milliseconds; for others, the processor in use."""
        target = it["behaviour"].get("target_ms")
        if target:
            cores = sum(map(self._filling_cpu, self.running.values())) / 1000
            return max(1, round(target / (self.HEADROOM - self.HEADROOM_PER_CORE * cores)))
        if "fills_cpu" in it["behaviour"]:
            return self._filling_cpu(it)
        return it["needs"].get("cpu", 0)

    async def _hold(self, body):
        self._extend(body)
        for it in self.finished:
            if it[0] <= body.get("ack_cursor", 0):
                self.platform.ledger.noted(it[1], it[2], it[3])
        self.finished = [it for it in self.finished if it[0] > body.get("ack_cursor", 0)]
        if not self.finished and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), min(body["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, it["run"], it["saved"], 100, self._measured(it)] for task, it in self.running.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.born_unix_ms, "running": running, "finished": self.finished[:500]}


class Ledger:
    """What callers asked for, and each run that an executor began."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.starts = []
        self.ended = []
        self.taken_note = []

    def needs(self, task):
        job, _, step, _ = task.split(".")
        phase = self.jobs[job]["phases"][int(step)] if job in self.jobs else {}
        return {key: phase.get(key, 0) for key in ("cpu", "mem_mb", "gpu")}

    def started(self, task, run, executor, body):
        self.starts.append({"at": self.record.now(), "task": task, "run": run, "executor": executor.id, "token": body["fencing_token"], "checkpoint": body.get("checkpoint", "")})

    def over(self, task, run, executor, how):
        self.ended.append({"at": self.record.now(), "task": task, "run": run, "executor": executor.id, "how": how})

    def noted(self, task, run, how):
        self.taken_note.append({"at": self.record.now(), "task": task, "run": run, "how": how})

    def starts_of(self, task):
        return [it for it in self.starts if it["task"] == task]


class Instance:
    """One plantainhold-jobsd process, with settings as deploy/settings.toml makes them."""

    def __init__(self, platform, number):
        self.platform = platform
        self.name = f"frontend-z1-{number}"
        self.callers, self.readiness, self.metrics, self.peers = (f"{HOST}:{free_port()}" for _ in range(4))
        self.settings = os.path.join(platform.folder, f"{self.name}.toml")
        self.process = None
        self.exits = []

    def start(self):
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(f"""instance = "{self.name}"
data_centre = "z1"
stop_grace_s = "{GRACE_S}"

[capacity]
cpu_share = "1"
cores = "1"

[listen]
callers = "{self.callers}"
readiness = "{self.readiness}"
metrics = "{self.metrics}"
peers = "{self.peers}"

[store]
address = "{self.platform.store.server.address}"
partitions = "{PARTITIONS}"
membership_min_ms = "{TTL_MIN_MS}"

[advice]
address = ""

[machines]
address = ""

[scheduling]
lease_max_ms = "{HOLD_MAX_MS}"
drain_ms = "{DRAIN_MS}"
stop_timeout_ms = "{STOP_TIMEOUT_MS}"
interference_ms = "{INTERFERENCE_MS}"
finished_kept_s = "{STATUS_S}"
""")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PLANTAINHOLD_BOOT"] = self.settings
        log = open(os.path.join(self.platform.folder, f"{self.name}.out"), "ab")
        self.process = subprocess.Popen([os.path.join(REPOSITORY, PROGRAM)], cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.platform.record.line("instance_starts", name=self.name, callers=self.callers)

    def signal(self, number):
        self.platform.record.line("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ended(self, timeout):
        """Waits for the process's end; SIGKILL after the timeout, as the platform does after grace_s."""
        until = time.monotonic() + timeout
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.platform.record.line("instance_ended", name=self.name, code=self.process.returncode)


class Platform:
    """A small deployment: store, executors and instances."""

    service = "svc"
    host = "jobs.example"
    prefix = "/batch/"

    def __init__(self, record_path, instances=2, executors=8, **traits):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.ledger = Ledger(self.record)
        self.executors = [Executor(self, i + 1, rack=f"r1-{i // 6 + 1}", **traits) for i in range(executors)]
        self.instances = [Instance(self, i + 1) for i in range(instances)]
        self._traits = traits
        self._tasks = set()
        self.queue = {"max_attempts": 3, "deadline_factor": 2.0, "priority": 0, "target_latency_ms": 1000}

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def configure(self, version=7, name="r-batch"):
        """Stores a configuration with one route, as the operator does."""
        route = {"name": name, "host": self.host, "path_prefix": self.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "service": self.service}
        route.update(self.queue)
        self.record.line("configuration", version=version, route=name, host=self.host, path_prefix=self.prefix)
        self.store.put("keyed.op", "config", {"version": version, "routes": [route], "services": [{"name": self.service, "health_path": "/health", "enforces_capacity": self.executors[0].guards}], "limits": {}})

    async def start(self):
        await self.store.server.start()
        self.configure()
        for it in self.executors:
            await it.start()
        self.spawn(self._heartbeats())
        await asyncio.sleep(0.2)
        for it in self.instances:
            it.start()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            answers = [await call(it.readiness, "GET", "/api/ready", timeout=1.0) for it in self.instances]
            if all(it and it[0] == 200 for it in answers) and self.store.holder():
                await asyncio.sleep(2)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the instances did not become ready")

    async def _heartbeats(self):
        last = {}
        listed = set()
        while True:
            for it in list(self.executors):
                now = time.monotonic()
                if it.is_up and (now - last.get(it.id, 0.0) >= HEARTBEAT_S or it.sequence == 0):
                    last[it.id] = now
                    listed.add(it.id)
                    self.store.put("keyed.servers", it.id, it.entry())
                elif it.id in listed and (it.has_left or now - last[it.id] >= 3 * HEARTBEAT_S):
                    listed.discard(it.id)
                    self.store.put("keyed.servers", it.id, None)
            await asyncio.sleep(0.05)

    async def replace(self, executor, after_s=3.0):
        """Replaces one copy of the service by a new one with another id, as a release does."""
        await executor.leave(after_s)
        new = Executor(self, len(self.executors) + 1, rack=executor.labels[1], **self._traits)
        self.executors.append(new)
        await new.start()

    def owner(self):
        name = self.store.holder()
        return next((it for it in self.instances if it.name == name), None)

    async def request(self, instance, method, job, body=None, timeout=3.0):
        answer = await call(instance.callers, method, self.prefix + job, body, {"Host": self.host, "Plantainhold-Deadline-Ms": str(int(timeout * 1000))}, timeout)
        self.record.line("request", method=method, job=job, instance=instance.name, answer=answer[0] if answer else None, body=json.dumps(answer[1]) if answer else "")
        return answer

    async def submit(self, job, behaviour, phases, tries=8, instances=None):
        """Hands a job in, again under the same id after no answer, as the pages describe callers."""
        self.ledger.jobs[job] = {"phases": phases}
        for i in range(tries):
            pool = instances or self.instances
            answer = await self.request(pool[i % len(pool)], "POST", job, {"spec": json.dumps(behaviour), "phases": phases})
            if answer and answer[0] // 100 == 2:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job, tries=6):
        for i in range(tries):
            answer = await self.request(self.instances[i % len(self.instances)], "GET", job)
            if answer and answer[0] == 200:
                return answer[1].get("state")
            if answer and answer[0] == 410:
                return "unknown"
            await asyncio.sleep(0.4)
        return None

    def stop(self):
        for it in self.instances:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        for it in list(self._tasks):
            it.cancel()
        self.store.server.abort()
        for it in self.executors:
            it.link.abort()
            if it.is_up:
                it.server.abort()
        self.record.close()


def job_id():
    """Returns an id as callers choose them."""
    return f"{random.getrandbits(64):016x}"


def has_trouble():
    """False if the script is to do the same without the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(scenario, folder, **traits):
    """Runs `scenario(platform)`, which returns True if the rule held; exits as the review's scripts do."""
    async def play():
        # Connections that are still open at the end are cancelled.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        # A script that is stopped itself leaves no process behind.
        for it in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(it, asyncio.current_task().cancel)
        platform = Platform(os.path.join(folder, "record.txt"), **traits)
        try:
            await platform.start()
            return await asyncio.wait_for(scenario(platform), 95)
        finally:
            platform.stop()
            if os.environ.get("KEEP"):
                print(f"logs of the instances: {platform.folder}", file=sys.stderr)
            else:
                shutil.rmtree(platform.folder, ignore_errors=True)
    try:
        held = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as it:  # The case could not run.
        print(f"could not run: {it!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)

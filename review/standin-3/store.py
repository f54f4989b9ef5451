"""A stand-in of the platform's store: keyed topics, fenced writers and groups, as the pages describe them."""

import asyncio
import base64
import collections
import itertools
import json
import time
from urllib.parse import unquote_to_bytes

from web import Response, Server

APPEND_S = 0.004
MAX_BACKLOG_S = 2
MAX_RECORD_BYTES = 262144
MAX_CALL_BYTES = 2097152
# What one partition takes a second; how long records stay, and how much of them one partition and the store hold.
PARTITION_BYTES_PER_S = 20 << 20
KEEP_S = 300
PARTITION_BYTES = 200 << 20
STORED_BYTES = 400 << 20
PAGE_RECORDS = 500
PAGE_BYTES = 1 << 20
REPEATS_KEPT = 5


def reply(status, **fields):
    return Response(status, json.dumps(fields).encode())


class Partition:
    """A partition of a topic. Records expire by age and by size; of each key the newest stays."""

    def __init__(self):
        self.records = collections.deque()
        self.times = collections.deque()
        self.first = 0
        self.log_bytes = 0
        self.newest = {}
        self.writers = {}
        self.busy_until = 0.0
        self.grown = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def stored_bytes(self):
        """Returns what it holds: the log, and the newest records of keys that the log holds no more."""
        self.expire()
        kept = sum(len(key) + len(value) for key, (value, offset) in self.newest.items() if offset < self.first)
        return self.log_bytes + kept

    def expire(self):
        oldest = time.monotonic() - KEEP_S
        while self.records and (self.log_bytes > PARTITION_BYTES or self.times[0] < oldest):
            self.log_bytes -= len(self.records.popleft())
            self.times.popleft()
            self.first += 1

    def store(self, records):
        offset = self.end
        for raw in records:
            size = raw[0] if raw else 0
            key, value = raw[1:1 + size], raw[1 + size:]
            if size and value:
                self.newest[key] = (value, self.end)
            elif size:
                self.newest.pop(key, None)
            self.records.append(raw)
            self.times.append(time.monotonic())
            self.log_bytes += len(raw)
        self.expire()
        grown, self.grown = self.grown, asyncio.Event()
        grown.set()
        return {"offset": offset, "end_offset": self.end}

    def append(self, records, producer, epoch, sequence):
        if producer is None:
            return reply(200, **self.store(records))
        writer = self.writers.setdefault(producer, {"epoch": -1, "last": None, "recent": []})
        if epoch < writer["epoch"]:
            return reply(409, reason="fenced")
        if epoch > writer["epoch"]:
            writer.update(epoch=epoch, last=None, recent=[])
        for number, outcome in writer["recent"]:
            if number == sequence:
                return reply(200, **outcome)
        if writer["last"] is not None and sequence != writer["last"] + 1:
            return reply(409, reason="seq", sequence=writer["last"] + 1)
        outcome = self.store(records)
        if records:
            writer["last"] = sequence
            writer["recent"] = (writer["recent"] + [(sequence, outcome)])[-REPEATS_KEPT:]
        return reply(200, **outcome)


class Group:
    """Deals the partitions of topics among members. A partition moves once its holder has joined with the generation
    that took it away, has left, or has been silent for its time to live."""

    def __init__(self, partitions):
        self.partitions = partitions
        self.generation = 0
        self.members = {}
        self.places = {}

    def expire(self):
        now = time.monotonic()
        gone = [name for name, it in self.members.items() if it["seen"] + it["ttl"] < now]
        for name in gone:
            del self.members[name]
        if gone:
            self.assign()

    def assign(self):
        self.generation += 1
        for it in self.members.values():
            for topic in it["topics"]:
                for part in range(self.partitions):
                    self.places.setdefault((topic, part), {"holder": None, "target": None, "since": 0})
        for (topic, part), place in self.places.items():
            able = [name for name, it in self.members.items() if topic in it["topics"]]
            target = able[part % len(able)] if able else None
            if place["target"] != target:
                place.update(target=target, since=self.generation)
            if place["holder"] not in self.members:
                place["holder"] = target

    def join(self, name, topics, ttl, generation):
        self.expire()
        is_changed = name not in self.members or self.members[name]["topics"] != topics
        if name in self.members:
            self.members[name].update(topics=topics, ttl=ttl, seen=time.monotonic())
        else:
            self.members[name] = {"topics": topics, "ttl": ttl, "seen": time.monotonic()}
        if is_changed:
            self.assign()
        for place in self.places.values():
            if place["holder"] == name != place["target"] and generation >= place["since"]:
                place["holder"] = place["target"]
                self.generation += 1
        return [[topic, part, 0] for (topic, part), it in self.places.items() if it["holder"] == it["target"] == name]

    def leave(self, name):
        if self.members.pop(name, None):
            self.assign()

    def owners(self):
        self.expire()
        return [[topic, part, it["holder"], 0] for (topic, part), it in self.places.items() if it["holder"]]


class Store:
    def __init__(self, partitions=8):
        self.partition_count = partitions
        self.partitions = {}
        self.groups = {}
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()

    @property
    def address(self):
        return self.server.address

    def partition(self, topic, part=0):
        return self.partitions.setdefault((topic, int(part)), Partition())

    def group(self, name):
        return self.groups.setdefault(name, Group(self.partition_count))

    def put(self, topic, key, value):
        """Writes a record of the operator or of an executor; an empty value drops the key."""
        self.partition(topic).store([bytes([len(key)]) + key.encode() + value])

    def stored_bytes(self):
        return sum(it.stored_bytes() for it in self.partitions.values())

    def owner(self):
        """Returns the member that holds partition 0 of the instances' group of owners, or an empty string."""
        rows = self.group("owners").owners()
        return next((name for _, part, name, _ in rows if part == 0), "")

    async def handle(self, request):
        handler = {
            "/api/log-append": self.append, "/api/log-read": self.read, "/api/log-newest": self.newest,
            "/api/log-join": self.join, "/api/log-leave": self.leave, "/api/log-owners": self.owners,
        }.get(request.path)
        return await handler(request) if handler else reply(404)

    async def append(self, request):
        records, body = [], request.body
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + size])
            body = body[4 + size:]
        if len(request.body) > MAX_CALL_BYTES or any(len(it) > MAX_RECORD_BYTES for it in records):
            return reply(400)
        topic = request.query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return reply(403)
        partition = self.partition(topic, request.query["part"])
        now = time.monotonic()
        if partition.busy_until > now + MAX_BACKLOG_S:
            return reply(503)
        if records and self.stored_bytes() >= STORED_BYTES:
            return reply(507)
        partition.busy_until = max(partition.busy_until, now) + APPEND_S + len(request.body) / PARTITION_BYTES_PER_S
        await asyncio.sleep(partition.busy_until - now)
        query = request.query
        return partition.append(records, query.get("producer"), int(query.get("epoch", 0)), int(query.get("sequence", 0)))

    async def read(self, request):
        partition = self.partition(request.query["topic"], request.query["part"])
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("wait_ms", 0)) / 1000
        while partition.end <= start and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.grown.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        parts, size = [], 0
        limit = int(request.query.get("max_kb", 1024)) << 10
        partition.expire()
        if start < partition.first:
            return reply(410, first_offset=partition.first)
        for raw in itertools.islice(partition.records, start - partition.first, None):
            if parts and size + len(raw) > limit:
                break
            parts.append(len(raw).to_bytes(4, "big") + raw)
            size += 4 + len(raw)
        head = partition.end.to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        return Response(200, head + b"".join(parts))

    async def newest(self, request):
        partition = self.partition(request.query["topic"], request.query["part"])
        after = unquote_to_bytes(request.query.get("after", ""))
        keys = sorted(key for key in partition.newest if key > after)
        items, size = [], 0
        for key in keys:
            value, offset = partition.newest[key]
            if len(items) == PAGE_RECORDS or (items and size + len(value) > PAGE_BYTES):
                break
            items.append({"key": key.decode("latin-1"), "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(key) + len(value)
        return reply(200, items=items, has_more=len(items) < len(keys), end_offset=partition.end)

    async def join(self, request):
        body = json.loads(request.body)
        group = self.group(body["group"])
        parts = group.join(body["member"], body["topic_list"], body["ttl_ms"] / 1000, body["generation"])
        return reply(200, generation=group.generation, ttl_ms=body["ttl_ms"], parts=parts)

    async def leave(self, request):
        body = json.loads(request.body)
        self.group(body["group"]).leave(body["member"])
        return reply(200)

    async def owners(self, request):
        return reply(200, parts=self.group(request.query["group"]).owners())

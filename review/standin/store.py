"""Stand-in of the platform's store: topics, fenced producers, newest records of keys, groups."""

import asyncio
import base64
import struct
import time

from http11 import Server

RECORD_BYTES = 262144
CALL_BYTES = 2097152
APPEND_S = 0.004
PAGE_RECORDS = 500
PAGE_BYTES = 1 << 20
RECENT_APPENDS = 5


class Partition:
    def __init__(self, is_keyed):
        self.is_keyed = is_keyed
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.appended = asyncio.Event()

    def append(self, records):
        first = len(self.records)
        for it in records:
            offset = len(self.records)
            self.records.append(it)
            if not self.is_keyed:
                continue
            size = it[0] if it else 0
            key, value = it[1:1 + size], it[1 + size:]
            if value:
                self.newest[key] = (value, offset)
            else:
                self.newest.pop(key, None)
        self.appended.set()
        self.appended = asyncio.Event()
        return {"offset": first, "end_offset": len(self.records)}


class Producer:
    def __init__(self, epoch):
        self.epoch = epoch
        self.last = None
        self.recent = {}


class Group:
    def __init__(self):
        self.generation = 0
        # Member: [topics, when its membership expires, generation it last named].
        self.members = {}
        # (topic, partition): member. A partition that is to move stays with its holder until that has released it.
        self.holders = {}


class Store:
    def __init__(self, parts=8, on_refused=None):
        self.parts = parts
        self.topics = {}
        self.groups = {}
        self.refused = 0
        self.on_refused = on_refused
        self.server = Server(self.handle)

    async def start(self):
        return await self.server.start()

    def partition(self, topic, part):
        is_keyed = topic.startswith("keyed.")
        if topic not in self.topics:
            n = 1 if topic in ("keyed.op", "keyed.servers", "keyed.status") else self.parts
            self.topics[topic] = [Partition(is_keyed) for _ in range(n)]
        parts = self.topics[topic]
        return parts[part] if part < len(parts) else None

    def put(self, topic, key, value):
        """Stores a record as the operator and the executors do."""
        key = key.encode()
        self.partition(topic, 0).append([bytes([len(key)]) + key + value])

    async def handle(self, request):
        handlers = {
            "/api/log-append": self.log_append, "/api/log-read": self.log_read, "/api/log-newest": self.log_newest,
            "/api/log-join": self.log_join, "/api/log-leave": self.log_leave, "/api/log-owners": self.log_owners,
        }
        handler = handlers.get(request.path)
        return await handler(request) if handler else (404, {})

    async def log_append(self, request):
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        if partition is None or query["topic"] in ("keyed.op", "keyed.servers"):
            return 400 if partition is None else 403, {}
        records = []
        body = request.body
        at = 0
        while at + 4 <= len(body):
            (n,) = struct.unpack_from(">I", body, at)
            records.append(body[at + 4:at + 4 + n])
            at += 4 + n
        if at != len(body) or sum(map(len, records)) > CALL_BYTES or any(len(it) > RECORD_BYTES for it in records):
            self.refused += 1
            if self.on_refused:
                self.on_refused(query["topic"], max(map(len, records), default=0))
            return 400, {"error": "a record or call is malformed or too large"}
        async with partition.lock:
            await asyncio.sleep(APPEND_S)
            if "at" in query and int(query["at"]) != len(partition.records):
                return 412, {"end_offset": len(partition.records)}
            if "producer" not in query:
                return 200, partition.append(records)
            return self.append_fenced(partition, query, records)

    @staticmethod
    def append_fenced(partition, query, records):
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        producer = partition.producers.get(query["producer"])
        if producer and epoch < producer.epoch:
            return 409, {"reason": "fenced"}
        if not producer or epoch > producer.epoch:
            producer = partition.producers[query["producer"]] = Producer(epoch)
        if sequence in producer.recent:
            return 200, producer.recent[sequence]
        if producer.last is not None and sequence != producer.last + 1:
            return 409, {"reason": "seq", "sequence": producer.last + 1}
        result = partition.append(records)
        producer.last = sequence
        producer.recent[sequence] = result
        producer.recent.pop(sequence - RECENT_APPENDS, None)
        return 200, result

    async def log_read(self, request):
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        if partition is None:
            return 400, {}
        start = int(query["from"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while start >= len(partition.records) and time.monotonic() < until:
            try:
                await asyncio.wait_for(partition.appended.wait(), until - time.monotonic())
            except TimeoutError:
                break
        limit = int(query.get("max_kb", "1024")) * 1024
        out = [struct.pack(">QQ", len(partition.records), 0)]
        n = 0
        for it in partition.records[start:]:
            if n and n + len(it) > limit:
                break
            n += len(it)
            out.append(struct.pack(">I", len(it)) + it)
        return 200, b"".join(out)

    async def log_newest(self, request):
        query = request.query
        partition = self.partition(query["topic"], int(query["part"]))
        if partition is None:
            return 400, {}
        after = query.get("after", "").encode()
        items, n, has_more = [], 0, False
        for key in sorted(it for it in partition.newest if it > after):
            value, offset = partition.newest[key]
            if items and (len(items) >= PAGE_RECORDS or n + len(value) > PAGE_BYTES):
                has_more = True
                break
            n += len(value)
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
        return 200, {"items": items, "has_more": has_more, "end_offset": len(partition.records)}

    def expire(self, group):
        now = time.monotonic()
        for name in [it for it, member in group.members.items() if member[1] < now]:
            self.drop(group, name)

    def drop(self, group, name):
        if group.members.pop(name, None) is None:
            return
        group.generation += 1
        for where in [it for it, holder in group.holders.items() if holder == name]:
            del group.holders[where]

    def targets(self, group):
        """Returns which member should hold each partition: an even distribution in the order of the names."""
        targets = {}
        for topic in sorted({it for member in group.members.values() for it in member[0]}):
            names = sorted(it for it, member in group.members.items() if topic in member[0])
            self.partition(topic, 0)
            for part in range(len(self.topics[topic])):
                targets[(topic, part)] = names[part % len(names)]
        return targets

    async def log_join(self, request):
        body = request.json()
        group = self.groups.setdefault(body["group"], Group())
        self.expire(group)
        name = body["member"]
        if name not in group.members:
            group.generation += 1
        group.members[name] = [list(body["topic_list"]), time.monotonic() + body["ttl_ms"] / 1000, body["generation"]]
        targets = self.targets(group)
        for where, target in targets.items():
            holder = group.holders.get(where)
            # The holder releases a partition by a join with the generation that took it away.
            is_released = holder == name and body["generation"] >= group.generation
            if holder is None or is_released:
                group.holders[where] = target
        rows = [[topic, part, 0] for (topic, part), holder in sorted(group.holders.items()) if holder == name and targets.get((topic, part)) == name]
        return 200, {"generation": group.generation, "parts": rows}

    async def log_leave(self, request):
        body = request.json()
        group = self.groups.setdefault(body["group"], Group())
        self.expire(group)
        self.drop(group, body["member"])
        return 200, {}

    async def log_owners(self, request):
        group = self.groups.setdefault(request.query["group"], Group())
        self.expire(group)
        return 200, {"parts": [[topic, part, holder, 0] for (topic, part), holder in sorted(group.holders.items())]}

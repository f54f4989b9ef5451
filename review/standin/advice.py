"""Stand-in of the service that says which executors a queue's policy allows to run a step."""

import asyncio

from http11 import Server

WORKERS_A_CALL = 100
CALLS_WAITING = 32


class Advice:
    """`allows(id)` is the policy: it depends on the executor only and doesn't change."""

    def __init__(self, allows, decision_ms, per_worker_ms, validity_ms, on_call):
        self.allows = allows
        self.decision_ms = decision_ms
        self.per_worker_ms = per_worker_ms
        self.validity_ms = validity_ms
        self.on_call = on_call
        self.waiting = 0
        # All calls come from 127.0.0.1, so that the daemon's instances count as one calling machine.
        self.turn = asyncio.Lock()
        self.server = Server(self.handle)

    async def handle(self, request):
        body = request.json()
        workers = body.get("workers", [])
        if request.path != "/api/advise" or len(workers) > WORKERS_A_CALL:
            return 400, {}
        if self.waiting >= CALLS_WAITING:
            return 429, {}
        self.waiting += 1
        try:
            async with self.turn:
                await asyncio.sleep((self.decision_ms + self.per_worker_ms * len(workers)) / 1000)
        finally:
            self.waiting -= 1
        approved = [it for it in workers if self.allows(it)]
        self.on_call(body["step_id"], workers, approved)
        return 200, {"approved": [[it, f"ticket-{it}"] for it in approved], "validity_ms": self.validity_ms}

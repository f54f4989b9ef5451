"""Stand-in clients: they hand jobs in as the pages say, again at another instance after no response, and ask for states."""

import asyncio
import json
import random

from web import call

DEADLINE_MS = 3000


class Clients:
    def __init__(self, addresses, record, seed=1):
        self.addresses = addresses
        self.record = record
        self.random = random.Random(seed)
        self.accepted = set()

    def new_id(self):
        return f"{self.random.getrandbits(64):016x}"

    async def send(self, method, host, path, body=b"", address=None, timeout_s=None, is_recorded=True):
        """Makes one call. Returns (status, fields, body), or None without a response."""
        address = address or self.random.choice(self.addresses)
        headers = {"Host": host, "Content-Type": "application/json", "Plantainhold-Deadline-Ms": str(DEADLINE_MS)}
        response = await call(address, method, path, headers, body, timeout_s or DEADLINE_MS / 1000 + 0.5)
        answer = "no response" if response is None else f"{response[0]} {response[2][:100].decode('latin-1')}"
        if is_recorded:
            self.record(f"{method} {host}{path} ({len(body)} bytes) at {address}: {answer}")
        return response

    async def submit(self, host, prefix, job, id=None, tries=40):
        """Hands the job in until it is accepted. Returns its id, or None."""
        id = id or self.new_id()
        body = json.dumps(job).encode()
        for _ in range(tries):
            response = await self.send("POST", host, prefix + id, body)
            if response and 200 <= response[0] < 300:
                self.accepted.add(id)
                return id
            if response and response[0] in (400, 404, 413):
                return None
            retry = int(response[1].get("retry-after", 0)) if response else 0
            await asyncio.sleep(max(retry, 0.3))
        return None

    async def state(self, host, prefix, id, address=None):
        """Returns the state that is shown, "410", or None if there is no other answer."""
        response = await self.send("GET", host, prefix + id, address=address)
        if response and response[0] == 200:
            return json.loads(response[2])["state"]
        return "410" if response and response[0] == 410 else None

    async def wait_for(self, host, prefix, id, states, seconds):
        """Asks until one of the states is shown or the time is over. Returns the last state."""
        state = None
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            state = await self.state(host, prefix, id) or state
            if state in states:
                break
            await asyncio.sleep(0.5)
        return state

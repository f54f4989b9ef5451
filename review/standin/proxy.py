"""A TCP proxy in front of one executor. Its connections take a while to come about where `delay` says so."""

import asyncio

FIRST_BYTES = 1 << 16


class Proxy:
    """`delay(first_bytes)` returns for how many seconds a new connection isn't passed on."""

    def __init__(self, delay):
        self.delay = delay
        self.target = None
        self.server = None
        self.address = None

    async def start(self, port):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{port}"

    def stop(self):
        if self.server:
            self.server.close()

    async def _serve(self, reader, writer):
        target = None
        try:
            first = await reader.read(FIRST_BYTES)
            if not first:
                return
            seconds = self.delay(first)
            if seconds:
                await asyncio.sleep(seconds)
            host, port = self.target.rsplit(":", 1)
            back, target = await asyncio.open_connection(host, int(port))
            target.write(first)
            await asyncio.wait([asyncio.create_task(self._pass(reader, target)), asyncio.create_task(self._pass(back, writer))], return_when=asyncio.FIRST_COMPLETED)
        except (ConnectionError, OSError):
            return
        finally:
            for it in (writer, target):
                if it:
                    it.close()

    @staticmethod
    async def _pass(reader, writer):
        try:
            while data := await reader.read(FIRST_BYTES):
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            return

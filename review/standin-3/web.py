"""A small HTTP/1.1 server and client on asyncio, for stand-ins on loopback addresses."""

import asyncio


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.headers = headers
        self.body = body


class Response:
    """A response; `is_lost` closes the connection instead of sending it."""

    def __init__(self, status=200, body=b"{}", headers=None, is_lost=False):
        self.status = status
        self.body = body
        self.headers = headers or {}
        self.is_lost = is_lost


async def read_message(reader):
    """Returns the first line, the header fields in lower case, and the body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Serves one address; `handler` is a coroutine function from Request to Response."""

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 23)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                response = await self.handler(Request(method, target, headers, body))
                if response.is_lost:
                    break
                lines = [f"HTTP/1.1 {response.status} Status", f"Content-Length: {len(response.body)}"]
                lines += [f"{name}: {value}" for name, value in response.headers.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + response.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, asyncio.LimitOverrunError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, headers, body, timeout_s):
    """Makes one call on a connection of its own. Returns (status, headers, body), or None without a response."""
    host, _, port = address.rpartition(":")
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
        lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        await writer.drain()
        first, fields, text = await read_message(reader)
        return int(first.split(" ")[1]), fields, text

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()

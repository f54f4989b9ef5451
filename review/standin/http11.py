"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review's cases."""

import asyncio
import json


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Returns the first line, the headers in lower case and the body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    n = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(n) if n else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """Serves requests with handler(request), which returns (status, body) or None for no answer."""

    def __init__(self, handler, closes_connections=False):
        self._handler = handler
        self._closes_connections = closes_connections
        self._server = None
        self._writers = set()
        self.address = None

    async def start(self, port=0):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 22, reuse_address=True)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self.address

    def stop(self, keeps_connections=False):
        """Stops listening and resets all connections, as the end of a process does, or keeps those that are open."""
        if self._server:
            self._server.close()
            self._server = None
        if keeps_connections:
            return
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                answer = await self._handler(Request(method, target, headers, body))
                if answer is None:
                    return
                status, content = answer
                kind = "application/octet-stream" if isinstance(content, bytes) else "application/json"
                if not isinstance(content, bytes):
                    content = json.dumps(content, separators=(",", ":")).encode()
                closing = "Connection: close\r\n" if self._closes_connections else ""
                writer.write(f"HTTP/1.1 {status} -\r\n{closing}Content-Type: {kind}\r\nContent-Length: {len(content)}\r\n\r\n".encode() + content)
                await writer.drain()
                if closing:
                    return
        except (ConnectionError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(address, method, path, host, body=None, timeout=3.0, headers=None):
    """Makes one call on a connection of its own. Returns (status, body); status 0 if there was no response."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            ip, port = address.rsplit(":", 1)
            reader, writer = await asyncio.open_connection(ip, int(port))
            content = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Content-Length: {len(content)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
            message = await read_message(reader)
            if message is None:
                return 0, None
            status = int(message[0].split(" ")[1])
            try:
                return status, json.loads(message[2]) if message[2] else None
            except ValueError:
                return status, None
    except (TimeoutError, ConnectionError, OSError):
        return 0, None
    finally:
        if writer:
            writer.close()

"""Stand-ins for the platform: its store, and backend servers beside the nodes.

Only the standard library is used.  Everything listens on loopback addresses.
"""

import asyncio
import base64
import contextlib
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 50
HEARTBEAT_SECONDS = 1.5
IDLE_CLOSE_SECONDS = 10.0


async def read_head(reader):
    """Return the start line and the headers of a message, or ``None`` at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body that follows `headers`, by length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).strip(), 16)
            parts.append(await reader.readexactly(size + 2))
            if not size:
                return b"".join(part[:-2] for part in parts)
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


class Store:
    """The platform's store, which never loses an acknowledged write and has no faults."""

    def __init__(self, address):
        self.address = address
        self._items = {}
        self._revision = 100
        self._changes = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen at the address."""
        ip, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def stop(self):
        """Close the port."""
        self._server.close()

    def put(self, key, document):
        """Write `document` as JSON and return the store's revision."""
        self._revision += 1
        created = self._items[key]["created"] if key in self._items else self._revision
        item = {
            "key": key,
            "value": base64.b64encode(json.dumps(document).encode()).decode(),
            "revision": self._revision,
            "created": created,
            "lease": 0,
        }
        self._items[key] = item
        self._note(item)
        return self._revision

    def remove(self, key):
        """Delete an item."""
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"key": key, "revision": self._revision, "deleted": True})

    def _note(self, change):
        self._changes.append((time.monotonic(), change))
        while self._changes and self._changes[0][0] < time.monotonic() - 20.0:
            self._changes.pop(0)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                start, headers = message
                await read_body(reader, headers)
                target = urlsplit(start.split(" ")[1])
                query = {name: values[-1] for name, values in parse_qs(target.query).items()}
                status, document = await self._answer(target.path, query)
                body = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} Said\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == "/v1/kv-range":
            await asyncio.sleep(0.004)
            return 200, self._range(query.get("prefix", ""), query.get("after", ""))
        if path == "/v1/kv-watch":
            return await self._watch(query)
        item = self._items.get(query.get("key", ""))
        if path == "/v1/kv-key" and item is not None:
            return 200, item | {"storeRevision": self._revision}
        return 404, {}

    def _range(self, prefix, after):
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        return {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "hasMore": len(keys) > PAGE_ITEMS,
            "storeRevision": self._revision,
        }

    async def _watch(self, query):
        after = int(query["after"])
        until = time.monotonic() + min(30.0, int(query["waitMs"]) / 1000)
        while True:
            events = [
                change
                for _, change in self._changes
                if change["revision"] > after and change["key"].startswith(query.get("prefix", ""))
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self._revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left)


class Upstream:
    """A backend server that behaves soundly; subclasses override the methods of one trouble.

    Parameters
    ----------
    host : Host
        The host whose backend server it is.
    instance : str
        The id of this start.
    service : str
        Its service.
    record : Record
        Where runs are noted.
    """

    def __init__(self, host, instance, service, record, work_seconds, slots=18):
        self.host = host
        self.instance = instance
        self.service = service
        self.record = record
        self.work_seconds = work_seconds
        self.slots = slots
        self.running = 0
        self.connections = set()
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._random = random.Random(instance)

    def entry(self, sequence, state="ready"):
        """Return what the server writes about itself in the store."""
        return {
            "address": self.host.app_address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.host.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": sequence, "coldLeft": "0ms"},
        }

    async def serve(self, reader, writer):
        """Serve one connection: one request at a time."""
        self.connections.add(writer)
        try:
            while True:
                try:
                    async with asyncio.timeout(IDLE_CLOSE_SECONDS):
                        message = await read_head(reader)
                except TimeoutError:
                    return
                if message is None:
                    return
                start, headers = message
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ")
                if not await self.handle(method, target, headers, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, reader, writer):
        """Answer one request; return whether the connection stays open."""
        if target == "/health":
            await self.answer(writer, headers, 200, b"", self.load_headers())
            return True
        wanted = headers.get("x-target-instance", self.instance)
        if wanted != self.instance:
            await self.answer(writer, headers, 421, b"", self.load_headers())
            return True
        if not headers.get("x-request-id"):
            await self.answer(writer, headers, 400, b"", {"X-Not-Executed": "1"})
            return True
        if self._waiting >= 2 * self.slots:
            await self.answer(writer, headers, 503, b"", {"X-Not-Executed": "1"})
            return True
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(method, target, headers, body, reader, writer)
        finally:
            self._free.release()

    async def _run(self, method, target, headers, body, reader, writer):
        request_id = headers["x-request-id"]
        self.record.run(request_id, self, method, target, headers, body)
        self.running += 1
        try:
            if not await self.work(reader, headers):
                self.record.line(f"{request_id} dropped by {self.instance}, connection closed")
                return False
        finally:
            self.running -= 1
        whole = self.body_for(request_id)
        self.record.answered(request_id, self, 200, whole)
        return await self.respond(writer, headers, whole)

    async def work(self, reader, headers):
        """Work on a request; return whether its caller has stayed."""
        seconds = self.work_seconds * self._random.uniform(0.7, 1.3)
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(0.02, left))
        return True

    def body_for(self, request_id):
        """Return the whole body of the answer to a request."""
        return f"{self.instance} ran {request_id} ".encode() * 20

    async def respond(self, writer, headers, body):
        """Send the answer of a run; return whether the connection stays open."""
        more = self.load_headers() | {"X-Server-Seal": self.seal(headers["x-request-id"], body)}
        await self.answer(writer, headers, 200, body, more)
        return True

    def seal(self, request_id, body):
        """Return the signature of an answer."""
        return f"{self.instance}.{len(body)}.{request_id}"

    def load_headers(self):
        """Return the headers that every answer of the server has."""
        load = f"{self.running},{self._waiting},{self.slots},100"
        return {"X-Instance-Id": self.instance, "X-Server-Load": load}

    def head(self, headers, status, more, length):
        """Return the head of an answer; the request's id is echoed if it had one."""
        lines = [f"HTTP/1.1 {status} Said"]
        if headers.get("x-request-id"):
            lines.append(f"X-Request-Id: {headers['x-request-id']}")
        lines += [f"{name}: {value}" for name, value in more.items()]
        if length is not None:
            lines += [f"Content-Length: {length}", f"Keep-Alive: timeout={int(IDLE_CLOSE_SECONDS)}"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def answer(self, writer, headers, status, body, more):
        """Send a whole answer."""
        writer.write(self.head(headers, status, more, len(body)) + body)
        await writer.drain()


class AppPort:
    """The address of a host's backend server, which passes connections to the current one."""

    def __init__(self, address):
        self.address = address
        self.upstream = None
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen at the address."""
        ip, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._accept, ip, int(port), limit=1 << 20)

    async def stop(self):
        """Close the port and all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        # A connection belongs to the upstream that was there when it was opened.
        await self.upstream.serve(reader, writer)

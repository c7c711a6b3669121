"""Stand-in for the platform's store: keyed topics of one partition."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from review.support2 import http

LENGTH = struct.Struct('>I')
READ_HEADER = struct.Struct('>QQ')
ANSWER_S = 0.004


class Store:
    """Serves log-append, log-read and log-newest.

    Attributes:
        records: Key and value of each record, by topic.
    """

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.port = 0
        self.records: dict[str, list[tuple[bytes, bytes]]] = {}
        self.grown = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen on a free port."""
        server = await asyncio.start_server(self.serve, self.ip, 0)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Address of the store."""
        return f'{self.ip}:{self.port}'

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record; returns its offset."""
        log = self.records.setdefault(topic, [])
        log.append((key.encode(), value))
        self.grown.set()
        self.grown = asyncio.Event()
        return len(log) - 1

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        try:
            while True:
                request = await http.read_message(reader)
                await asyncio.sleep(ANSWER_S)
                writer.write(await self.answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            writer.close()

    async def answer(self, request: http.Message) -> bytes:
        """Returns the response to a call."""
        target = urlsplit(request.start[1])
        query = {name: item[0] for name, item in parse_qs(target.query).items()}
        topic = query.get('topic', '')
        if target.path == '/log-append':
            return self.append(topic, request.body)
        if target.path == '/log-read':
            return await self.read(topic, query)
        if target.path == '/log-newest':
            return self.newest(topic, query.get('after', ''))
        return http.response(404, {})

    def append(self, topic: str, body: bytes) -> bytes:
        """Appends the records of a call."""
        if topic in {'keyed.op', 'keyed.servers'}:
            return http.response(403, {})
        offset = None
        position = 0
        while position < len(body):
            size = LENGTH.unpack_from(body, position)[0]
            content = body[position + 4 : position + 4 + size]
            key, value = content[1 : 1 + content[0]], content[1 + content[0] :]
            at = self.put(topic, key.decode(), value)
            offset = at if offset is None else offset
            position += 4 + size
        return as_json({'offset': offset, 'end': len(self.records[topic])})

    async def read(self, topic: str, query: dict[str, str]) -> bytes:
        """Returns the records from an offset on; waits for one."""
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get('waitMs', 0)) / 1000
        start = int(query['from'])
        log = self.records.setdefault(topic, [])
        if start > len(log):
            return http.response(410, {}, b'{"first": 0}')
        while start >= len(log) and loop.time() < until:
            try:
                async with asyncio.timeout(until - loop.time()):
                    await self.grown.wait()
            except TimeoutError:
                break
        body = READ_HEADER.pack(len(log), 0)
        for key, value in log[start:]:
            content = bytes([len(key)]) + key + value
            body += LENGTH.pack(len(content)) + content
        return http.response(200, {}, body)

    def newest(self, topic: str, after: str) -> bytes:
        """Returns a page of the newest record of each key."""
        log = self.records.get(topic, [])
        latest = {key: offset for offset, (key, _) in enumerate(log)}
        items = [
            {
                'key': key.decode(),
                'value': base64.b64encode(log[offset][1]).decode(),
                'offset': offset,
            }
            for key, offset in sorted(latest.items())
            if log[offset][1] and key.decode() > after
        ]
        return as_json(
            {
                'items': items[:500],
                'hasMore': len(items) > 500,
                'end': len(log),
            }
        )


def as_json(content: object) -> bytes:
    """Encodes a JSON response."""
    kind = {'content-type': 'application/json'}
    return http.response(200, kind, json.dumps(content).encode())

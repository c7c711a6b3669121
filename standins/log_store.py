"""Stand-in for the store of the users' platform.

`LogStore` keeps the records without I/O; `StoreServer` serves them over HTTP.
Run as `python -m standins.log_store ADDRESS PORT`. `PUT /fault` takes a body of
`StoreFault`; `PUT /record` lets a test write as operator or backend server.
"""

import asyncio
import base64
from collections import defaultdict

import fire
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from teaselcove.platform.store import LENGTH, READ_HEADER

KEYED_PREFIX = 'keyed.'
READ_ONLY = frozenset(('keyed.op', 'keyed.servers'))
PAGE_ITEMS = 50
REMEMBERED_APPENDS = 5
POLL_S = 0.01
MS_PER_S = 1000


class RejectedError(Exception):
    """A call that the store answers with a failure."""

    def __init__(self, status: int, **body: object) -> None:
        self.status = status
        self.body = body
        super().__init__(str(status))


class StoreFault(msgspec.Struct):
    """What is wrong with the store.

    Attributes:
        status: Status of all answers instead of the result; 0 for none.
        silent: No call is answered.
        delay: Seconds by which each answer is late.
        lose_replies: Writes take effect and are not answered.
    """

    status: int = 0
    silent: bool = False
    delay: float = 0
    lose_replies: bool = False


class Producer(msgspec.Struct):
    """Appends of a producer to a partition."""

    epoch: int = -1
    sequence: int | None = None
    replies: dict[int, dict[str, int]] = {}


class Partition(msgspec.Struct):
    """Records of a partition.

    Attributes:
        first: Offset of the oldest record that is retained.
        newest: Offset and content of the newest record of each key.
    """

    first: int = 0
    records: list[bytes] = []
    producers: dict[str, Producer] = {}
    newest: dict[str, tuple[int, bytes]] = {}

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


class LogStore:
    """Topics with offsets, conditions, producers, retention and keys."""

    def __init__(self) -> None:
        self.partitions: defaultdict[tuple[str, int], Partition] = defaultdict(
            lambda: Partition(records=[], producers={}, newest={})
        )

    def append(
        self,
        topic: str,
        part: int,
        payload: bytes,
        as_of: int | None = None,
        producer: str | None = None,
        epoch: int = 0,
        sequence: int = 0,
    ) -> dict[str, int]:
        """Appends records; returns the first offset and the end.

        Raises:
            RejectedError: If a condition does not hold.
        """
        partition = self.partitions[topic, part]
        if as_of is not None and as_of != partition.end:
            raise RejectedError(412, end=partition.end)
        known = None
        if producer is not None:
            known = partition.producers.setdefault(
                producer, Producer(replies={})
            )
            reply = self.check_producer(known, epoch, sequence)
            if reply is not None:
                return reply
        reply = {'offset': partition.end, 'end': partition.end}
        for record in split(payload):
            self.add(topic, partition, record)
        reply['end'] = partition.end
        if known is not None and payload:
            known.sequence = sequence
            known.replies[sequence] = reply
            if len(known.replies) > REMEMBERED_APPENDS:
                known.replies.pop(min(known.replies))
        return reply

    def check_producer(
        self, known: Producer, epoch: int, sequence: int
    ) -> dict[str, int] | None:
        """Returns the first answer to a repeated append, or None.

        Raises:
            RejectedError: If the epoch is old or the sequence has a gap.
        """
        if epoch < known.epoch:
            raise RejectedError(409, why='fenced')
        if epoch > known.epoch:
            known.epoch = epoch
            known.sequence = None
            known.replies = {}
        reply = known.replies.get(sequence)
        if reply is not None:
            return reply
        if known.sequence is not None and sequence != known.sequence + 1:
            raise RejectedError(409, why='seq', expected=known.sequence + 1)
        return None

    def add(self, topic: str, partition: Partition, record: bytes) -> None:
        """Adds a record and notes the newest one of its key."""
        offset = partition.end
        partition.records.append(record)
        if not topic.startswith(KEYED_PREFIX):
            return
        end = 1 + record[0]
        key = record[1:end].decode()
        if record[end:]:
            partition.newest[key] = (offset, record[end:])
        else:
            partition.newest.pop(key, None)

    def read(self, topic: str, part: int, offset: int) -> bytes:
        """Returns end, first offset and the records from an offset.

        Raises:
            RejectedError: If the records are not retained any more.
        """
        partition = self.partitions[topic, part]
        if offset < partition.first:
            raise RejectedError(410, first=partition.first)
        found = partition.records[offset - partition.first :]
        body = b''.join(LENGTH.pack(len(item)) + item for item in found)
        return READ_HEADER.pack(partition.end, partition.first) + body

    def newest(self, topic: str, part: int, after: str) -> dict[str, object]:
        """Returns a page of the newest records, in order of their keys."""
        partition = self.partitions[topic, part]
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(partition.newest[key][1]).decode(),
                'offset': partition.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        return {'items': items, 'hasMore': more, 'end': partition.end}

    def trim(self, topic: str, part: int, before: int) -> None:
        """Deletes the records before an offset."""
        partition = self.partitions[topic, part]
        partition.records = partition.records[before - partition.first :]
        partition.first = before


def split(payload: bytes) -> list[bytes]:
    """Returns the records of a payload, each with its length in front."""
    records = []
    position = 0
    while position < len(payload):
        size = LENGTH.unpack_from(payload, position)[0]
        position += LENGTH.size
        records.append(payload[position : position + size])
        position += size
    return records


class StoreServer:
    """HTTP side of the stand-in."""

    def __init__(self) -> None:
        self.store = LogStore()
        self.fault = StoreFault()
        self.calls: defaultdict[str, int] = defaultdict(int)

    async def wait_for_fault(self, name: str) -> None:
        """Waits as the fault says.

        Raises:
            RejectedError: If the store refuses.
        """
        self.calls[name] += 1
        await asyncio.sleep(self.fault.delay)
        while self.fault.silent:
            await asyncio.sleep(POLL_S)
        if self.fault.status:
            raise RejectedError(self.fault.status)

    async def append(self, request: Request) -> Response:
        """Appends records."""
        query = request.query_params
        body = await request.body()
        try:
            await self.wait_for_fault('log-append')
            if query['topic'] in READ_ONLY:
                raise RejectedError(403)
            as_of = query.get('asOf')
            reply = self.store.append(
                query['topic'],
                int(query.get('part', 0)),
                body,
                None if as_of is None else int(as_of),
                query.get('producer'),
                int(query.get('epoch', 0)),
                int(query.get('sequence', 0)),
            )
        except RejectedError as error:
            return answer(error.body, error.status)
        while self.fault.lose_replies:
            await asyncio.sleep(POLL_S)
        return answer(reply)

    async def read(self, request: Request) -> Response:
        """Returns records, after waiting for one if asked to."""
        query = request.query_params
        topic, part = query['topic'], int(query.get('part', 0))
        offset = int(query['from'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get('waitMs', 0)) / MS_PER_S
        try:
            await self.wait_for_fault('log-read')
            partition = self.store.partitions[topic, part]
            while offset >= partition.end and loop.time() < deadline:
                await asyncio.sleep(POLL_S)
            await self.wait_for_fault('log-read')
            body = self.store.read(topic, part, offset)
        except RejectedError as error:
            return answer(error.body, error.status)
        return Response(body, media_type='application/octet-stream')

    async def newest(self, request: Request) -> Response:
        """Returns a page of newest records."""
        query = request.query_params
        try:
            await self.wait_for_fault('log-newest')
        except RejectedError as error:
            return answer(error.body, error.status)
        page = self.store.newest(
            query['topic'], int(query.get('part', 0)), query.get('after', '')
        )
        return answer(page)

    async def put_record(self, request: Request) -> Response:
        """Writes a keyed record as operator or backend server."""
        query = request.query_params
        key = query['key'].encode()
        content = bytes([len(key)]) + key + await request.body()
        payload = LENGTH.pack(len(content)) + content
        return answer(self.store.append(query['topic'], 0, payload))

    async def trim(self, request: Request) -> Response:
        """Deletes old records."""
        query = request.query_params
        self.store.trim(
            query['topic'], int(query.get('part', 0)), int(query['before'])
        )
        return answer({})

    async def change_fault(self, request: Request) -> Response:
        """Sets what is wrong with the store."""
        self.fault = msgspec.json.decode(await request.body(), type=StoreFault)
        return answer(self.fault)

    async def report(self, request: Request) -> Response:
        """Shows the calls so far by name."""
        return answer(dict(self.calls))

    def application(self) -> Starlette:
        """Returns the HTTP application."""
        return Starlette(
            routes=[
                Route('/log-append', self.append, methods=['POST']),
                Route('/log-read', self.read, methods=['GET']),
                Route('/log-newest', self.newest, methods=['GET']),
                Route('/log-trim', self.trim, methods=['POST']),
                Route('/record', self.put_record, methods=['PUT']),
                Route('/fault', self.change_fault, methods=['PUT']),
                Route('/report', self.report, methods=['GET']),
            ]
        )


def answer(body: object, status: int = 200) -> Response:
    """Returns a JSON response."""
    return Response(
        msgspec.json.encode(body), status, media_type='application/json'
    )


def main(address: str, port: int) -> None:
    """Serves the stand-in until the process is ended."""
    uvicorn.run(
        StoreServer().application(),
        host=address,
        port=port,
        log_level='error',
    )


if __name__ == '__main__':
    fire.Fire(main)

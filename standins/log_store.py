"""Stand-in for the store of the users' platform.

`LogStore` keeps the records without I/O; `StoreServer` serves them over HTTP.
Run as `python -m standins.log_store ADDRESS PORT`. `PUT /fault` takes a
`StoreFault` as its JSON body; `PUT /record` lets a test write records on behalf
of the operator or a backend server. `POST /copy` keeps a copy of all records,
to which `POST /restore` goes back.
"""

import asyncio
import base64
import copy
from collections import defaultdict

import fire
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.base import (
    BaseHTTPMiddleware,
    RequestResponseEndpoint,
)
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from teaselcove.platform.headers import STORE_ERA
from teaselcove.platform.store import LENGTH, READ_HEADER

KEYED_PREFIX = 'keyed.'
READ_ONLY_TOPICS = frozenset(('keyed.op', 'keyed.servers'))
PAGE_SIZE = 50
MAX_KEPT_REPLIES = 5
POLL_INTERVAL_S = 0.01
MS_PER_S = 1000


class RejectedError(Exception):
    """A request that the store answers with an error status."""

    def __init__(self, status: int, **body: object) -> None:
        self.status = status
        self.body = body
        super().__init__(str(status))


class StoreFault(msgspec.Struct):
    """Faults that the store currently injects.

    Attributes:
        status: Status of all answers instead of the result; 0 for none.
        silent: Requests are not answered.
        delay: Seconds by which each answer is delayed.
        lose_replies: Appends take effect but are not answered.
    """

    status: int = 0
    silent: bool = False
    delay: float = 0
    lose_replies: bool = False


class Producer(msgspec.Struct):
    """State of a producer in a partition, for detecting repeated appends.

    Attributes:
        sequence: Sequence number of the last append in the current epoch.
        replies: Replies to the latest appends by sequence number.
    """

    epoch: int = -1
    sequence: int | None = None
    replies: dict[int, dict[str, int]] = {}


class Partition(msgspec.Struct):
    """Records of a partition and the state of its producers.

    Attributes:
        first: Offset of the oldest retained record.
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
    """In-memory store of partitioned topics.

    Supports conditional and idempotent appends, trimming, and a view of the
    newest record of each key.

    Attributes:
        copied: Partitions as they were when the copy was made.
        era: Number of times that the copy was restored.
    """

    def __init__(self) -> None:
        self.partitions: defaultdict[tuple[str, int], Partition] = defaultdict(
            lambda: Partition(records=[], producers={}, newest={})
        )
        self.copied = copy.deepcopy(self.partitions)
        self.era = 0

    def keep_copy(self) -> None:
        """Copies all records."""
        self.copied = copy.deepcopy(self.partitions)

    def restore(self) -> None:
        """Goes back to the copy; records written since are lost."""
        self.partitions = copy.deepcopy(self.copied)
        self.era += 1

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
        """Appends records; returns the offset of the first and the new end.

        Raises:
            RejectedError: If the partition does not end at `as_of`, or if the
                epoch or sequence of the producer is invalid.
        """
        partition = self.partitions[topic, part]
        if as_of is not None and as_of != partition.end:
            raise RejectedError(412, end=partition.end)
        producer_state = None
        if producer is not None:
            producer_state = partition.producers.setdefault(
                producer, Producer(replies={})
            )
            reply = self.check_producer(producer_state, epoch, sequence)
            if reply is not None:
                return reply
        reply = {'offset': partition.end, 'end': partition.end}
        for record in split_records(payload):
            self.add_record(topic, partition, record)
        reply['end'] = partition.end
        if producer_state is not None and payload:
            producer_state.sequence = sequence
            producer_state.replies[sequence] = reply
            if len(producer_state.replies) > MAX_KEPT_REPLIES:
                producer_state.replies.pop(min(producer_state.replies))
        return reply

    def check_producer(
        self, producer_state: Producer, epoch: int, sequence: int
    ) -> dict[str, int] | None:
        """Returns the original reply to a repeated append, or None.

        Raises:
            RejectedError: If the epoch is outdated or the sequence has a gap.
        """
        if epoch < producer_state.epoch:
            raise RejectedError(409, why='fenced')
        if epoch > producer_state.epoch:
            producer_state.epoch = epoch
            producer_state.sequence = None
            producer_state.replies = {}
        reply = producer_state.replies.get(sequence)
        if reply is not None:
            return reply
        if (
            producer_state.sequence is not None
            and sequence != producer_state.sequence + 1
        ):
            raise RejectedError(
                409, why='seq', expected=producer_state.sequence + 1
            )
        return None

    def add_record(
        self, topic: str, partition: Partition, record: bytes
    ) -> None:
        """Appends a record and updates the newest record of its key."""
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
        """Encodes the end, the first offset and the records from an offset.

        Raises:
            RejectedError: If there are no records from this offset on.
        """
        partition = self.partitions[topic, part]
        if not partition.first <= offset <= partition.end:
            raise RejectedError(410, first=partition.first)
        found = partition.records[offset - partition.first :]
        body = b''.join(LENGTH.pack(len(item)) + item for item in found)
        return READ_HEADER.pack(partition.end, partition.first) + body

    def newest(self, topic: str, part: int, after: str) -> dict[str, object]:
        """Returns a page of the newest record of each key, sorted by key."""
        partition = self.partitions[topic, part]
        keys = sorted(key for key in partition.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(partition.newest[key][1]).decode(),
                'offset': partition.newest[key][0],
            }
            for key in keys[:PAGE_SIZE]
        ]
        has_more = len(keys) > PAGE_SIZE
        return {'items': items, 'hasMore': has_more, 'end': partition.end}

    def trim(self, topic: str, part: int, before: int) -> None:
        """Deletes the records before an offset."""
        partition = self.partitions[topic, part]
        partition.records = partition.records[before - partition.first :]
        partition.first = before


def split_records(payload: bytes) -> list[bytes]:
    """Splits a payload of length-prefixed records."""
    records = []
    position = 0
    while position < len(payload):
        size = LENGTH.unpack_from(payload, position)[0]
        position += LENGTH.size
        records.append(payload[position : position + size])
        position += size
    return records


class StoreServer:
    """HTTP interface of the store."""

    def __init__(self) -> None:
        self.store = LogStore()
        self.fault = StoreFault()
        self.calls: defaultdict[str, int] = defaultdict(int)

    async def apply_fault(self, name: str) -> None:
        """Counts a request and applies the injected faults to it.

        Raises:
            RejectedError: If the fault sets an error status.
        """
        self.calls[name] += 1
        await asyncio.sleep(self.fault.delay)
        while self.fault.silent:
            await asyncio.sleep(POLL_INTERVAL_S)
        if self.fault.status:
            raise RejectedError(self.fault.status)

    async def append(self, request: Request) -> Response:
        """Handles an append of records."""
        query = request.query_params
        body = await request.body()
        try:
            await self.apply_fault('log-append')
            if query['topic'] in READ_ONLY_TOPICS:
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
            return json_response(error.body, error.status)
        while self.fault.lose_replies:
            await asyncio.sleep(POLL_INTERVAL_S)
        return json_response(reply)

    async def read(self, request: Request) -> Response:
        """Returns records; a long poll waits until there is one."""
        query = request.query_params
        topic, part = query['topic'], int(query.get('part', 0))
        offset = int(query['from'])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query.get('waitMs', 0)) / MS_PER_S
        try:
            await self.apply_fault('log-read')
            era = self.store.era
            while (
                self.store.era == era
                and offset >= self.store.partitions[topic, part].end
                and loop.time() < deadline
            ):
                await asyncio.sleep(POLL_INTERVAL_S)
            await self.apply_fault('log-read')
            body = self.store.read(topic, part, offset)
        except RejectedError as error:
            return json_response(error.body, error.status)
        return Response(body, media_type='application/octet-stream')

    async def newest(self, request: Request) -> Response:
        """Returns a page of the newest record of each key."""
        query = request.query_params
        try:
            await self.apply_fault('log-newest')
        except RejectedError as error:
            return json_response(error.body, error.status)
        page = self.store.newest(
            query['topic'], int(query.get('part', 0)), query.get('after', '')
        )
        return json_response(page)

    async def put_record(self, request: Request) -> Response:
        """Appends a keyed record for the operator or a backend server."""
        query = request.query_params
        key = query['key'].encode()
        content = bytes([len(key)]) + key + await request.body()
        payload = LENGTH.pack(len(content)) + content
        return json_response(self.store.append(query['topic'], 0, payload))

    async def trim(self, request: Request) -> Response:
        """Handles a request to delete old records."""
        query = request.query_params
        self.store.trim(
            query['topic'], int(query.get('part', 0)), int(query['before'])
        )
        return json_response({})

    async def keep_copy(self, request: Request) -> Response:
        """Copies all records."""
        self.store.keep_copy()
        return json_response({})

    async def restore(self, request: Request) -> Response:
        """Goes back to the copy."""
        self.store.restore()
        return json_response({'era': self.store.era})

    async def add_era(
        self, request: Request, call_next: RequestResponseEndpoint
    ) -> Response:
        """Adds the era of the store to a response."""
        response = await call_next(request)
        response.headers[STORE_ERA] = str(self.store.era)
        return response

    async def change_fault(self, request: Request) -> Response:
        """Replaces the injected faults."""
        self.fault = msgspec.json.decode(await request.body(), type=StoreFault)
        return json_response(self.fault)

    async def report(self, request: Request) -> Response:
        """Returns the number of requests by name."""
        return json_response(dict(self.calls))

    def application(self) -> Starlette:
        """Returns the HTTP application."""
        return Starlette(
            routes=[
                Route('/log-append', self.append, methods=['POST']),
                Route('/log-read', self.read, methods=['GET']),
                Route('/log-newest', self.newest, methods=['GET']),
                Route('/log-trim', self.trim, methods=['POST']),
                Route('/record', self.put_record, methods=['PUT']),
                Route('/copy', self.keep_copy, methods=['POST']),
                Route('/restore', self.restore, methods=['POST']),
                Route('/fault', self.change_fault, methods=['PUT']),
                Route('/report', self.report, methods=['GET']),
            ],
            middleware=[Middleware(BaseHTTPMiddleware, dispatch=self.add_era)],
        )


def json_response(body: object, status: int = 200) -> Response:
    """Returns a JSON response."""
    return Response(
        msgspec.json.encode(body), status, media_type='application/json'
    )


def main(address: str, port: int) -> None:
    """Serves the stand-in until the process is terminated."""
    uvicorn.run(
        StoreServer().application(),
        host=address,
        port=port,
        log_level='error',
    )


if __name__ == '__main__':
    fire.Fire(main)

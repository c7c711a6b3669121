"""Client of the platform's store: a log with keyed topics, over HTTP."""

import asyncio
import base64
import struct
from urllib.parse import urlencode

import msgspec

from teaselcove.errors import (
    AppendUnknownError,
    CodecError,
    HistoryLostError,
    StoreUnavailableError,
)
from teaselcove.http_connection import (
    ConnectionBrokenError,
    HttpConnection,
    connect,
)
from teaselcove.ids import Instant
from teaselcove.ingress.entities import KeyedRecord, RecordPage

# Ten times the slowest answer of a store that is a hundred times slower
# than its usual 4 ms would be 4 s; a silent store has to be noticed before
# the 2 s in which a change must be in force.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1
OK_STATUS = 200
GONE_STATUS = 410
MS_PER_S = 1000
USER_TIMEOUT_MS = 2000
# A page of newest records has 1 MB at most, a read 1 MB besides one record.
MAX_ANSWER_BYTES = 4 * 1024 * 1024

LENGTH = struct.Struct('>I')
# End of the partition and its oldest retained offset.
READ_HEADER = struct.Struct('>QQ')


class NewestItem(msgspec.Struct):
    """The newest record of a key; the value is base64."""

    key: str
    offset: int
    value: str | None = None


class NewestReply(msgspec.Struct, rename='camel'):
    """Answer to a read of the newest records."""

    # Records, not work items as elsewhere on the platform.
    items: list[NewestItem]
    has_more: bool
    end: int


def split_records(payload: bytes, offset: int) -> list[KeyedRecord]:
    """Returns the keyed records of a read.

    Args:
        payload: Records, each with its length in front.
        offset: Offset of the first record.

    Raises:
        CodecError: If the bytes are not records.
    """
    records = []
    position = 0
    while position < len(payload):
        if position + LENGTH.size > len(payload):
            raise CodecError('store: the last record is cut short')
        size = LENGTH.unpack_from(payload, position)[0]
        position += LENGTH.size
        content = payload[position : position + size]
        if len(content) < size:
            raise CodecError('store: the last record is cut short')
        position += size
        records.append(keyed_record(content, offset))
        offset += 1
    return records


def keyed_record(content: bytes, offset: int) -> KeyedRecord:
    """Returns the key and value of a record; the key's length is in front."""
    key_end = 1 + int.from_bytes(content[:1])
    key = content[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, content[key_end:] or None, offset)


def pack_record(key: str, value: bytes) -> bytes:
    """Returns the wire form of a keyed record."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return LENGTH.pack(len(content)) + content


def decode_value(topic: str, item: NewestItem) -> bytes | None:
    """Returns the value of a record, or None if its key was dropped.

    Raises:
        CodecError: If it is not base64.
    """
    if item.value is None:
        return None
    try:
        return base64.b64decode(item.value)
    except ValueError as error:
        raise CodecError(f'{topic}: {item.key}: {error}') from error


class StoreClient:
    """Calls the platform's store.

    Attributes:
        idle: Connections that wait for the next call.
        calls: Calls by name since the start.
        failures: Calls without a useful answer since the start.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle: list[HttpConnection] = []
        self.calls: dict[str, int] = {}
        self.failures = 0

    async def call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes = b'',
        wait: float = 0,
    ) -> tuple[int, bytes]:
        """Returns status and body of a call.

        Raises:
            StoreUnavailableError: If the store did not get the call, or did
                not answer one that changes nothing.
            AppendUnknownError: If a call that may have been executed got no
                answer.
        """
        self.calls[name] = self.calls.get(name, 0) + 1
        connection = await self.connection(name)
        payload = self.request(method, f'/{name}?{urlencode(query)}', body)
        try:
            async with asyncio.timeout(wait + CALL_TIMEOUT_S):
                answer = await connection.exchange(payload)
        except (TimeoutError, ConnectionBrokenError) as error:
            self.failures += 1
            connection.close()
            if method == 'GET':
                raise StoreUnavailableError(f'{name}: {error!r}') from error
            raise AppendUnknownError(f'{name}: {error!r}') from error
        if connection.is_usable:
            self.idle.append(connection)
        else:
            connection.close()
        return answer.status, answer.body

    async def connection(self, name: str) -> HttpConnection:
        """Returns a kept connection or a new one.

        Raises:
            StoreUnavailableError: If there is none.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable:
                return connection
        try:
            return await connect(
                self.address,
                CONNECT_TIMEOUT_S,
                USER_TIMEOUT_MS,
                MAX_ANSWER_BYTES,
            )
        except (OSError, TimeoutError) as error:
            self.failures += 1
            raise StoreUnavailableError(f'{name}: {error!r}') from error

    def request(self, method: str, target: str, body: bytes) -> bytes:
        """Returns a call as bytes."""
        lines = [
            f'{method} {target} HTTP/1.1',
            f'host: {self.address}',
            f'content-length: {len(body)}',
        ]
        return '\r\n'.join([*lines, '', '']).encode() + body

    def close(self) -> None:
        """Closes all kept connections."""
        for connection in self.idle:
            connection.close()

    def refused(self, name: str, status: int) -> StoreUnavailableError:
        """Returns the error for a status that says nothing was done."""
        self.failures += 1
        return StoreUnavailableError(f'{name}: status {status}')

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Reads the records from an offset on.

        Args:
            topic: Topic with one partition.
            offset: Offset of the first record to read.
            asked_at: Present time.
            wait: Seconds to wait for a record if there is none yet.

        Raises:
            StoreUnavailableError: If the store gave no answer.
            HistoryLostError: If the records are not retained any more.
            CodecError: If the answer is not in the format.
        """
        query = {'topic': topic, 'part': '0', 'from': str(offset)}
        if wait:
            query['waitMs'] = str(int(wait * MS_PER_S))
        status, body = await self.call('GET', 'log-read', query, wait=wait)
        if status == GONE_STATUS:
            raise HistoryLostError(f'{topic}: records from {offset} are gone')
        if status != OK_STATUS:
            raise self.refused('log-read', status)
        if len(body) < READ_HEADER.size:
            raise CodecError(f'{topic}: answer of {len(body)} bytes')
        end = READ_HEADER.unpack_from(body)[0]
        records = split_records(body[READ_HEADER.size :], offset)
        following = offset + len(records)
        return RecordPage(
            tuple(records), following, asked_at, reaches_end=following >= end
        )

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Reads the newest record of each key.

        The pages are no snapshot, so the records after the end of the first
        page are to be read again.

        Raises:
            StoreUnavailableError: If the store gave no answer.
            CodecError: If the answer is not in the format.
        """
        query = {'topic': topic, 'part': '0'}
        records: list[KeyedRecord] = []
        end: int | None = None
        more = True
        while more:
            reply = await self.newest_page(topic, query)
            for item in reply.items:
                content = decode_value(topic, item)
                records.append(KeyedRecord(item.key, content, item.offset))
            end = reply.end if end is None else end
            more = reply.has_more and bool(reply.items)
            if more:
                query['after'] = reply.items[-1].key
        return RecordPage(tuple(records), end or 0, asked_at)

    async def newest_page(
        self, topic: str, query: dict[str, str]
    ) -> NewestReply:
        """Reads a page of the newest records."""
        status, body = await self.call('GET', 'log-newest', query)
        if status != OK_STATUS:
            raise self.refused('log-newest', status)
        try:
            return msgspec.json.decode(body, type=NewestReply)
        except msgspec.MsgspecError as error:
            raise CodecError(f'{topic}: {error}') from error

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a keyed record.

        Raises:
            StoreUnavailableError: If the store refused it.
            AppendUnknownError: If the record may have been written.
        """
        query = {'topic': topic, 'part': '0'}
        body = pack_record(key, value)
        status, _ = await self.call('POST', 'log-append', query, body)
        if status != OK_STATUS:
            raise self.refused('log-append', status)

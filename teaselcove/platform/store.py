"""Client of the platform's store: a log with keyed topics, over HTTP."""

import asyncio
import base64
import struct
from urllib.parse import urlencode

import msgspec

from teaselcove.answer_memory import AnswerMemory
from teaselcove.decoding import decoding
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
from teaselcove.ids import Era, Instant
from teaselcove.ingress.entities import KeyedRecord, RecordPage
from teaselcove.platform import headers as names

# A store that is a hundred times slower than its usual 4 ms answers in 0.4 s,
# and ten times that would be 4 s. The timeout is shorter because a store that
# does not respond must be detected before the 2 s within which a change must
# take effect.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1
OK_STATUS = 200
GONE_STATUS = 410
MS_PER_S = 1000
USER_TIMEOUT_MS = 2000
# A page of newest records has at most 1 MB, a read 1 MB plus one record.
MAX_ANSWER_BYTES = 4 * 1024 * 1024

LENGTH = struct.Struct('>I')
# End offset and oldest retained offset of the partition.
READ_HEADER = struct.Struct('>QQ')


class NewestItem(msgspec.Struct):
    """Newest record of a key; the value is base64-encoded."""

    key: str
    offset: int
    value: str | None = None


class StoreAnswer(msgspec.Struct, frozen=True):
    """Response of the store and the era in which it was given."""

    status: int
    body: bytes
    era: Era


class NewestReply(msgspec.Struct, rename='camel'):
    """Page of the newest record of each key."""

    # Records; elsewhere on the platform, `items` are work items.
    items: list[NewestItem]
    has_more: bool
    end: int


def decode_records(payload: bytes, offset: int) -> list[KeyedRecord]:
    """Decodes length-prefixed keyed records.

    Args:
        payload: Records, each prefixed with its length.
        offset: Offset of the first record.

    Raises:
        CodecError: If the last record is truncated.
    """
    records = []
    position = 0
    while position < len(payload):
        if position + LENGTH.size > len(payload):
            raise CodecError('store: the last record is truncated')
        size = LENGTH.unpack_from(payload, position)[0]
        position += LENGTH.size
        content = payload[position : position + size]
        if len(content) < size:
            raise CodecError('store: the last record is truncated')
        position += size
        records.append(decode_record(content, offset))
        offset += 1
    return records


def decode_record(content: bytes, offset: int) -> KeyedRecord:
    """Decodes a record: length of the key, key, value."""
    key_end = 1 + int.from_bytes(content[:1])
    key = content[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, content[key_end:] or None, offset)


def encode_record(key: str, value: bytes) -> bytes:
    """Encodes a keyed record."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return LENGTH.pack(len(content)) + content


def decode_items(topic: str, reply: NewestReply) -> list[KeyedRecord]:
    """Decodes the records of a page.

    Raises:
        CodecError: If a value is not valid base64.
    """
    return [
        KeyedRecord(item.key, decode_value(topic, item), item.offset)
        for item in reply.items
    ]


def decode_value(topic: str, item: NewestItem) -> bytes | None:
    """Decodes the value of a record; None if its key was deleted.

    Raises:
        CodecError: If the value is not valid base64.
    """
    if item.value is None:
        return None
    try:
        return base64.b64decode(item.value)
    except ValueError as error:
        raise CodecError(f'{topic}: {item.key}: {error}') from error


class StoreClient:
    """Client of the platform's store.

    Attributes:
        memory: Counts the bytes of all responses.
        idle: Idle connections.
        calls: Number of calls by name since the start.
        failures: Number of failed calls since the start.
        era: Latest era of a response.
    """

    def __init__(self, address: str, memory: AnswerMemory) -> None:
        self.address = address
        self.memory = memory
        self.era = Era(0)
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
    ) -> StoreAnswer:
        """Calls the store; returns its response.

        Raises:
            StoreUnavailableError: If the call was not sent, or a read got no
                response.
            AppendUnknownError: If a write that may have been executed got no
                response.
        """
        self.calls[name] = self.calls.get(name, 0) + 1
        connection = await self.acquire_connection(name)
        payload = self.encode_request(
            method, f'/{name}?{urlencode(query)}', body
        )
        try:
            async with asyncio.timeout(wait + CALL_TIMEOUT_S):
                answer = await connection.exchange(payload)
        except (TimeoutError, ConnectionBrokenError) as error:
            self.failures += 1
            connection.close()
            if isinstance(error, TimeoutError):
                # What silenced this connection may have silenced the others.
                self.close()
            if method == 'GET':
                raise StoreUnavailableError(f'{name}: {error!r}') from error
            raise AppendUnknownError(f'{name}: {error!r}') from error
        if connection.is_usable:
            self.idle.append(connection)
        else:
            connection.close()
        era = names.decode_store_era(answer.header(names.STORE_ERA))
        if era is None:
            era = self.era
        self.era = max(self.era, era)
        return StoreAnswer(answer.status, answer.body, era)

    async def acquire_connection(self, name: str) -> HttpConnection:
        """Returns an idle connection, or opens a new one.

        Raises:
            StoreUnavailableError: If no connection can be opened.
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
                self.memory,
            )
        except (OSError, TimeoutError) as error:
            self.failures += 1
            raise StoreUnavailableError(f'{name}: {error!r}') from error

    def encode_request(self, method: str, target: str, body: bytes) -> bytes:
        """Encodes an HTTP request."""
        lines = [
            f'{method} {target} HTTP/1.1',
            f'host: {self.address}',
            f'content-length: {len(body)}',
        ]
        return '\r\n'.join([*lines, '', '']).encode() + body

    def close(self) -> None:
        """Closes all idle connections."""
        while self.idle:
            self.idle.pop().close()

    def status_error(self, name: str, status: int) -> StoreUnavailableError:
        """Counts a failure; returns the error for a status other than 200."""
        self.failures += 1
        return StoreUnavailableError(f'{name}: status {status}')

    async def read(
        self, topic: str, offset: int, asked_at: Instant, wait: float = 0
    ) -> RecordPage:
        """Reads the records from an offset onwards.

        Args:
            topic: Topic with one partition.
            offset: Offset of the first record to read.
            asked_at: Current time.
            wait: Long poll: seconds to wait for a record if there is none.

        Raises:
            StoreUnavailableError: If the store did not respond or refused.
            HistoryLostError: If the records are no longer retained.
            CodecError: If the response is malformed.
        """
        query = {'topic': topic, 'part': '0', 'from': str(offset)}
        if wait:
            query['waitMs'] = str(int(wait * MS_PER_S))
        answer = await self.call('GET', 'log-read', query, wait=wait)
        if answer.status == GONE_STATUS:
            raise HistoryLostError(
                f'{topic}: the store has no records from {offset}'
                f' in era {answer.era}'
            )
        if answer.status != OK_STATUS:
            raise self.status_error('log-read', answer.status)
        if len(answer.body) < READ_HEADER.size:
            raise CodecError(
                f'{topic}: response of {len(answer.body)} bytes is too short'
            )
        end = READ_HEADER.unpack_from(answer.body)[0]
        records = decode_records(answer.body[READ_HEADER.size :], offset)
        next_offset = offset + len(records)
        return RecordPage(
            tuple(records),
            next_offset,
            asked_at,
            reaches_end=next_offset >= end,
            era=answer.era,
        )

    async def newest(self, topic: str, asked_at: Instant) -> RecordPage:
        """Reads the newest record of each key.

        The pages are not a consistent snapshot, so the records after the end
        offset of the first page must be read again.

        Raises:
            StoreUnavailableError: If the store did not respond, refused, or was
                restored from a copy between two pages.
            CodecError: If the response is malformed.
        """
        query = {'topic': topic, 'part': '0'}
        reply, era = await self.newest_page(topic, query)
        end = reply.end
        records = decode_items(topic, reply)
        while reply.has_more and reply.items:
            query['after'] = reply.items[-1].key
            reply, page_era = await self.newest_page(topic, query)
            if page_era != era:
                raise StoreUnavailableError(
                    f'{topic}: pages of eras {era} and {page_era}'
                )
            records.extend(decode_items(topic, reply))
        return RecordPage(tuple(records), end, asked_at, era=era)

    async def newest_page(
        self, topic: str, query: dict[str, str]
    ) -> tuple[NewestReply, Era]:
        """Reads one page of newest records; returns its era too."""
        answer = await self.call('GET', 'log-newest', query)
        if answer.status != OK_STATUS:
            raise self.status_error('log-newest', answer.status)
        with decoding(topic):
            reply = msgspec.json.decode(answer.body, type=NewestReply)
        return reply, answer.era

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a keyed record.

        Raises:
            StoreUnavailableError: If the record was not written.
            AppendUnknownError: If the record may have been written.
        """
        query = {'topic': topic, 'part': '0'}
        body = encode_record(key, value)
        answer = await self.call('POST', 'log-append', query, body)
        if answer.status != OK_STATUS:
            raise self.status_error('log-append', answer.status)

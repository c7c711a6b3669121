"""Client of the platform's store: a log with keyed topics, over HTTP."""

import base64
import socket
import struct
from typing import Any

import aiohttp
import msgspec

from teaselcove.errors import (
    AppendUnknownError,
    CodecError,
    HistoryLostError,
    StoreUnavailableError,
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
# Finds connections to the store that went silent while a long poll waits.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 2000

LENGTH = struct.Struct('>I')
# End of the partition and its oldest retained offset.
READ_HEADER = struct.Struct('>QQ')

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
STORE_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


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


def keepalive_socket(address: Any) -> socket.socket:
    """Returns a socket that notices a silent connection within seconds."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock


def open_session() -> aiohttp.ClientSession:
    """Returns a session whose connections notice when they go silent."""
    connector = aiohttp.TCPConnector(
        limit=0, socket_factory=keepalive_socket, enable_cleanup_closed=False
    )
    return aiohttp.ClientSession(connector=connector)


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
        (size,) = LENGTH.unpack_from(payload, position)
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
    key_end = 1 + (content[0] if content else 0)
    key = content[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, content[key_end:] or None, offset)


def pack_record(key: str, value: bytes) -> bytes:
    """Returns the wire form of a keyed record."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return LENGTH.pack(len(content)) + content


class StoreClient:
    """Calls the platform's store.

    Attributes:
        calls: Calls by name since the start.
        failures: Calls without a useful answer since the start.
    """

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self.url = f'http://{address}'
        self.session = session
        self.calls: dict[str, int] = {}
        self.failures = 0

    async def call(
        self,
        method: str,
        name: str,
        query: dict[str, str],
        body: bytes | None = None,
        wait: float = 0,
    ) -> tuple[int, bytes]:
        """Returns status and body of a call.

        Raises:
            StoreUnavailableError: If the store refused it, or did not
                answer a call that changes nothing.
            AppendUnknownError: If a call that may have been executed got no
                answer.
        """
        self.calls[name] = self.calls.get(name, 0) + 1
        timeout = aiohttp.ClientTimeout(
            total=wait + CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
        )
        request = self.session.request(
            method,
            f'{self.url}/{name}',
            params=query,
            data=body,
            timeout=timeout,
        )
        try:
            async with request as response:
                return response.status, await response.read()
        except CONNECT_ERRORS as error:
            self.failures += 1
            raise StoreUnavailableError(f'{name}: {error!r}') from error
        except STORE_ERRORS as error:
            self.failures += 1
            if method == 'GET':
                raise StoreUnavailableError(f'{name}: {error!r}') from error
            raise AppendUnknownError(f'{name}: {error!r}') from error

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
        records = split_records(body[READ_HEADER.size :], offset)
        return RecordPage(tuple(records), offset + len(records), asked_at)

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
                text = item.value
                decoded = None if text is None else base64.b64decode(text)
                records.append(KeyedRecord(item.key, decoded, item.offset))
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

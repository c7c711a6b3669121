"""HTTP clients of the platform's log service and of its lists."""

import base64

import aiohttp
import msgspec

from teaselcove.errors import AppendUnknownError, StoreUnavailableError
from teaselcove.events import (
    EndpointEntry,
    EndpointsListed,
    HostEntry,
    HostsListed,
    RecordsRead,
)
from teaselcove.ids import Offset, StreamName

STORE_TIMEOUT_S = 2
OK_STATUS = 200

# Errors raised before a connection exists, so the request had no effect.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
STORE_ERRORS = (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError)


class AppendReply(msgspec.Struct):
    """Response body of an append."""

    offset: Offset


class ReadReply(msgspec.Struct):
    """Response body of a read; payloads are base64."""

    first_offset: Offset
    next_offset: Offset
    records: list[tuple[Offset, str]]


class LogClient:
    """Client of the streams of the log service.

    Attributes:
        url: Base URL of the service.
        session: The HTTP session, owned by the caller.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url
        self.session = session
        self.timeout = aiohttp.ClientTimeout(
            total=STORE_TIMEOUT_S, connect=STORE_TIMEOUT_S
        )

    async def append(self, stream: StreamName, payload: bytes) -> Offset:
        """Appends a record.

        Returns:
            The record's offset.

        Raises:
            StoreUnavailableError: If the record was not appended.
            AppendUnknownError: If the record may have been appended.
        """
        try:
            reply = await self.post(stream, payload)
        except CONNECT_ERRORS as error:
            raise StoreUnavailableError(str(error)) from error
        except STORE_ERRORS as error:
            raise AppendUnknownError(str(error)) from error
        return reply.offset

    async def post(self, stream: StreamName, payload: bytes) -> AppendReply:
        """Sends an append and returns the reply."""
        async with self.session.post(
            f'{self.url}/streams/{stream}', data=payload, timeout=self.timeout
        ) as response:
            response.raise_for_status()
            body = await response.read()
            return msgspec.json.decode(body, type=AppendReply)

    async def read(self, stream: StreamName, offset: Offset) -> RecordsRead:
        """Reads the records of a stream, starting at an offset.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        try:
            body = await fetch_body(
                self.session,
                f'{self.url}/streams/{stream}?from={offset}',
                self.timeout,
            )
            reply = msgspec.json.decode(body, type=ReadReply)
        except STORE_ERRORS as error:
            raise StoreUnavailableError(str(error)) from error
        records = tuple(
            (record_offset, base64.b64decode(payload))
            for record_offset, payload in reply.records
        )
        return RecordsRead(
            stream, offset, reply.first_offset, reply.next_offset, records
        )


class ListClient:
    """Client of the platform's lists of hosts and backend servers.

    Attributes:
        url: Base URL of the service.
        session: The HTTP session, owned by the caller.
    """

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=STORE_TIMEOUT_S)

    async def hosts(self) -> HostsListed:
        """Reads the list of hosts.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        try:
            body = await fetch_body(
                self.session, f'{self.url}/hosts', self.timeout
            )
            return HostsListed(
                msgspec.json.decode(body, type=tuple[HostEntry, ...])
            )
        except STORE_ERRORS as error:
            raise StoreUnavailableError(str(error)) from error

    async def endpoints(self) -> EndpointsListed:
        """Reads the list of backend servers.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        try:
            body = await fetch_body(
                self.session, f'{self.url}/endpoints', self.timeout
            )
            return EndpointsListed(
                msgspec.json.decode(body, type=tuple[EndpointEntry, ...])
            )
        except STORE_ERRORS as error:
            raise StoreUnavailableError(str(error)) from error


async def fetch_body(
    session: aiohttp.ClientSession, url: str, timeout: aiohttp.ClientTimeout
) -> bytes:
    """Sends a GET and returns the body of a successful response."""
    async with session.get(url, timeout=timeout) as response:
        response.raise_for_status()
        return await response.read()

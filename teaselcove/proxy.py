"""HTTP client side: runs attempts at backend servers."""

import asyncio
import logging
from collections.abc import Iterable

import aiohttp
from multidict import CIMultiDict

from teaselcove.effects import Dial
from teaselcove.events import AttemptFinished, AttemptResult, StoredAnswer
from teaselcove.http_fields import (
    BODYLESS_STATUS,
    HOP_BY_HOP,
    MS_PER_S,
    CallerRequest,
    Headers,
)
from teaselcove.settings import HostSettings

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1
# Shorter than the idle timeout of usual servers, so that a kept connection is
# seldom one that the server is just closing.
KEEPALIVE_S = 10
SHED_STATUS = 503

REQUEST_ID_HEADER = 'teaselcove-request-id'
ORGANISATION_HEADER = 'teaselcove-organisation'
DEADLINE_HEADER = 'teaselcove-deadline-ms'
SHED_HEADER = 'teaselcove-shed'
LEAVING_HEADER = 'teaselcove-leaving'
OWN_PREFIX = 'teaselcove-'

# The key is never sent to a backend server.
NOT_FORWARDED = HOP_BY_HOP | {'authorization', 'host'}
NOT_RETURNED = HOP_BY_HOP | {'date'}


def forwarded(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers of a request that a backend server may see."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in NOT_FORWARDED
        and not name.lower().startswith(OWN_PREFIX)
    )


def returned(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers of an answer that the caller gets.

    The host's HTTP server adds a date of its own. Names become plain strings,
    since an answer that is kept for resends is sent to other hosts.
    """
    return tuple(
        (str(name), value)
        for name, value in headers
        if name.lower() not in NOT_RETURNED
        and not name.lower().startswith(OWN_PREFIX)
    )


class AnswerTooLargeError(Exception):
    """The answer is larger than the settings allow."""


CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
ATTEMPT_ERRORS = (
    TimeoutError,
    aiohttp.ClientError,
    AnswerTooLargeError,
    OSError,
)


def classify_error(error: Exception) -> AttemptResult:
    """Returns the result of an attempt that ended with an error."""
    if isinstance(error, CONNECT_ERRORS):
        return AttemptResult.NOT_SENT
    if isinstance(error, TimeoutError):
        return AttemptResult.TIMED_OUT
    return AttemptResult.BROKEN


class BackendClient:
    """Sends requests to backend servers, with one session for each."""

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.sessions: dict[str, aiohttp.ClientSession] = {}
        self.retired: list[aiohttp.ClientSession] = []

    def session(self, address: str) -> aiohttp.ClientSession:
        """Returns the session of a server, with its kept connections."""
        session = self.sessions.get(address)
        if session is None:
            session = self.new_session(KEEPALIVE_S)
            self.sessions[address] = session
        return session

    def new_session(self, keepalive: float | None) -> aiohttp.ClientSession:
        """Returns a session; None closes each connection after its use."""
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=keepalive is None,
            local_addr=(self.settings.address, 0),
            **({} if keepalive is None else {'keepalive_timeout': keepalive}),
        )
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=('User-Agent', 'Accept', 'Content-Type'),
        )
        # aiohttp would send a GET again on its own when a kept connection
        # breaks, also when the call is declared as not repeatable.
        session._retry_connection = False  # noqa: SLF001, WPS437
        return session

    async def run(self, dial: Dial, request: CallerRequest) -> AttemptFinished:
        """Runs an attempt to its end."""
        if dial.new_connection:
            async with self.new_session(None) as session:
                return await self.run_in(session, dial, request)
        return await self.run_in(self.session(dial.address), dial, request)

    async def run_in(
        self,
        session: aiohttp.ClientSession,
        dial: Dial,
        request: CallerRequest,
    ) -> AttemptFinished:
        """Runs an attempt in a session and classifies its end."""
        try:
            return await self.exchange(session, dial, request)
        except asyncio.CancelledError:
            result = AttemptResult.CANCELLED
        except ATTEMPT_ERRORS as error:
            result = classify_error(error)
            log.info(
                'attempt %s of request %s at %s: %s: %r',
                dial.attempt_id,
                dial.request_id,
                dial.server,
                result.value,
                error,
            )
        return AttemptFinished(dial.attempt_id, result)

    async def exchange(
        self,
        session: aiohttp.ClientSession,
        dial: Dial,
        request: CallerRequest,
    ) -> AttemptFinished:
        """Sends a request and reads the whole answer."""
        timeout = aiohttp.ClientTimeout(
            total=dial.timeout,
            sock_connect=min(CONNECT_TIMEOUT_S, dial.timeout),
        )
        async with session.request(
            request.method,
            f'http://{dial.address}{request.target}',
            headers=self.request_headers(dial, request),
            data=request.body or None,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await self.read_whole(response, request.method)
            return self.classify(dial, response, body)

    def request_headers(
        self, dial: Dial, request: CallerRequest
    ) -> CIMultiDict[str]:
        """Returns the headers that the backend server gets."""
        headers = CIMultiDict(request.headers)
        headers[ORGANISATION_HEADER] = dial.organisation
        headers[REQUEST_ID_HEADER] = dial.request_id
        headers[DEADLINE_HEADER] = str(int(dial.timeout * MS_PER_S))
        return headers

    async def read_whole(
        self, response: aiohttp.ClientResponse, method: str
    ) -> bytes:
        """Returns the body of an answer that states where it ends.

        Raises:
            ClientPayloadError: If the answer is cut short, or if only the
                end of the connection would end it, because then nobody can
                tell a cut answer from a whole one.
            AnswerTooLargeError: If it is larger than the settings allow.
        """
        bodyless = method == 'HEAD' or response.status in BODYLESS_STATUS
        has_length = 'content-length' in response.headers
        coding = response.headers.get('transfer-encoding', '')
        if not bodyless and not has_length and coding.lower() != 'chunked':
            raise aiohttp.ClientPayloadError('the answer states no length')
        limit = self.settings.max_answer_bytes
        parts = []
        size = 0
        async for part in response.content.iter_any():
            size += len(part)
            if size > limit:
                raise AnswerTooLargeError
            parts.append(part)
        return b''.join(parts)

    def classify(
        self, dial: Dial, response: aiohttp.ClientResponse, body: bytes
    ) -> AttemptFinished:
        """Returns the end of an attempt whose answer was read."""
        headers = response.headers
        leaving = headers.get(LEAVING_HEADER) == '1'
        echoed = headers.get(REQUEST_ID_HEADER, dial.request_id)
        if dial.echo_request_id and REQUEST_ID_HEADER not in headers:
            echoed = ''
        result = AttemptResult.COMPLETE
        if echoed != dial.request_id:
            result = AttemptResult.MISMATCHED
        elif response.status == SHED_STATUS and SHED_HEADER in headers:
            result = AttemptResult.SHED
        answer = StoredAnswer(response.status, returned(headers.items()), body)
        complete = result is AttemptResult.COMPLETE
        return AttemptFinished(
            dial.attempt_id,
            result,
            response.status if complete else None,
            leaving,
            answer if complete else None,
        )

    def close_connections(self, address: str) -> None:
        """Lets new attempts at a server use new connections only.

        Attempts that run keep their connection; their session is closed with
        the client.
        """
        session = self.sessions.pop(address, None)
        if session is not None:
            self.retired.append(session)

    async def close(self) -> None:
        """Closes all connections."""
        for session in (*self.sessions.values(), *self.retired):
            await session.close()

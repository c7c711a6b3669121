"""HTTP client that runs attempts at backend servers."""

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
# Shorter than the idle timeout of common servers, so that a reused connection
# is rarely one that the server is closing.
KEEPALIVE_S = 10
SHED_STATUS = 503

REQUEST_ID_HEADER = 'teaselcove-request-id'
ORGANISATION_HEADER = 'teaselcove-organisation'
DEADLINE_HEADER = 'teaselcove-deadline-ms'
SHED_HEADER = 'teaselcove-shed'
LEAVING_HEADER = 'teaselcove-leaving'
HEADER_PREFIX = 'teaselcove-'

# The caller's key is never sent to a backend server.
NOT_FORWARDED = HOP_BY_HOP | {'authorization', 'host'}
NOT_RETURNED = HOP_BY_HOP | {'date'}


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers of a request to forward to a backend server."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in NOT_FORWARDED
        and not name.lower().startswith(HEADER_PREFIX)
    )


def returned_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers of an answer to return to the caller.

    The date is left out because the host's HTTP server adds its own. Names are
    converted to plain strings, since stored answers are sent to other hosts and
    the codec refuses the HTTP client's own string type.
    """
    return tuple(
        (str(name), value)
        for name, value in headers
        if name.lower() not in NOT_RETURNED
        and not name.lower().startswith(HEADER_PREFIX)
    )


class AnswerTooLargeError(Exception):
    """Raised when an answer is larger than the settings allow."""


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
    """Sends requests to backend servers over one session per server.

    Attributes:
        retired_sessions: Sessions that serve no new attempts.
    """

    def __init__(self, settings: HostSettings) -> None:
        self.settings = settings
        self.sessions: dict[str, aiohttp.ClientSession] = {}
        self.retired_sessions: list[aiohttp.ClientSession] = []

    def session(self, address: str) -> aiohttp.ClientSession:
        """Returns the session of a server with its keep-alive connections."""
        session = self.sessions.get(address)
        if session is None:
            session = self.new_session(KEEPALIVE_S)
            self.sessions[address] = session
        return session

    def new_session(self, keepalive: float | None) -> aiohttp.ClientSession:
        """Creates a session.

        Args:
            keepalive: Seconds that an idle connection is kept, or None to
                close each connection after use.
        """
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
        # aiohttp would resend a GET by itself when a keep-alive connection
        # breaks, even if the route declares the call as not idempotent.
        session._retry_connection = False  # noqa: SLF001, WPS437
        return session

    async def run(self, dial: Dial, request: CallerRequest) -> AttemptFinished:
        """Runs an attempt and returns how it ended."""
        if dial.new_connection:
            async with self.new_session(None) as session:
                return await self.run_in_session(session, dial, request)
        return await self.run_in_session(
            self.session(dial.address), dial, request
        )

    async def run_in_session(
        self,
        session: aiohttp.ClientSession,
        dial: Dial,
        request: CallerRequest,
    ) -> AttemptFinished:
        """Runs an attempt over a session and maps errors to results."""
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
        """Sends a request and reads the complete answer."""
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
            body = await self.read_body(response, request.method)
            return self.classify(dial, response, body)

    def request_headers(
        self, dial: Dial, request: CallerRequest
    ) -> CIMultiDict[str]:
        """Returns the headers to send to the backend server."""
        headers = CIMultiDict(request.headers)
        headers[ORGANISATION_HEADER] = dial.organisation
        headers[REQUEST_ID_HEADER] = dial.request_id
        headers[DEADLINE_HEADER] = str(int(dial.timeout * MS_PER_S))
        return headers

    async def read_body(
        self, response: aiohttp.ClientResponse, method: str
    ) -> bytes:
        """Reads the complete body of an answer.

        Raises:
            ClientPayloadError: If the answer is truncated, or if it has
                neither a length nor chunks: it would end with the connection,
                and a truncated answer would look complete.
            AnswerTooLargeError: If it is larger than the settings allow.
        """
        bodyless = method == 'HEAD' or response.status in BODYLESS_STATUS
        has_length = 'content-length' in response.headers
        coding = response.headers.get('transfer-encoding', '')
        if not bodyless and not has_length and coding.lower() != 'chunked':
            raise aiohttp.ClientPayloadError(
                'the answer has no content length and is not chunked'
            )
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
        """Returns the result of an attempt whose answer was read."""
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
        answer = StoredAnswer(
            response.status, returned_headers(headers.items()), body
        )
        complete = result is AttemptResult.COMPLETE
        return AttemptFinished(
            dial.attempt_id,
            result,
            response.status if complete else None,
            leaving,
            answer if complete else None,
        )

    def close_connections(self, address: str) -> None:
        """Stops reusing the open connections to a server.

        Running attempts keep their connection; their session is closed with
        the client.
        """
        session = self.sessions.pop(address, None)
        if session is not None:
            self.retired_sessions.append(session)

    async def close(self) -> None:
        """Closes all connections."""
        for session in (*self.sessions.values(), *self.retired_sessions):
            await session.close()

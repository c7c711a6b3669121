"""Callers that reuse connections and record the answers they receive."""

import asyncio
import itertools
import random
import time

from soak.checks import Evidence, Sent
from soak.link import Link
from teaselcove.answer_memory import AnswerMemory
from teaselcove.http_connection import (
    ConnectionBrokenError,
    HttpConnection,
    connect,
)

CALL_TIMEOUT_S = 3
CONNECT_TIMEOUT_S = 1
USER_TIMEOUT_MS = 3000
MAX_ANSWER_BYTES = 100_000
REUSE_SHARE = 0.8
IDEMPOTENT_SHARE = 0.4
DEADLINE_MS = 2000


class Caller:
    """Sends requests for one organisation.

    Attributes:
        links: Link to each host, by host name.
        stop_requested_at: Monotonic time of the request to stop, for each host
            that is stopping.
        idle_connections: Open connection to each host that carries no request.
        opened_at: Monotonic time at which each connection was opened.
    """

    def __init__(
        self,
        name: str,
        organisation: str,
        key: str,
        links: dict[str, Link],
        evidence: Evidence,
        stop_requested_at: dict[str, float],
        seed: int,
    ) -> None:
        self.name = name
        self.organisation = organisation
        self.key = key
        self.links = links
        self.evidence = evidence
        self.stop_requested_at = stop_requested_at
        self.random = random.Random(seed)
        self.idle_connections: dict[str, HttpConnection] = {}
        self.opened_at: dict[HttpConnection, float] = {}
        self.sequence = itertools.count(1)

    async def run(self, mean_interval: float) -> None:
        """Sends requests at random times until cancelled.

        Args:
            mean_interval: Mean seconds between two requests.
        """
        while True:
            await asyncio.sleep(self.random.expovariate(1 / mean_interval))
            host = self.random.choice(sorted(self.links))
            await self.send_request(host)

    async def send_request(self, host: str) -> None:
        """Sends a request to a host and records the outcome."""
        try:
            connection = await self.acquire(host)
        except (OSError, TimeoutError):
            # The host is down: no request was sent, so none is recorded.
            await asyncio.sleep(0.1)
            return
        sent = Sent(
            f'{self.name}-{next(self.sequence)}',
            self.organisation,
            self.key,
            self.random.random() < IDEMPOTENT_SHARE,
            host,
            time.monotonic(),
        )
        self.evidence.sent.append(sent)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await connection.exchange(self.encode_request(sent))
        except (TimeoutError, ConnectionBrokenError):
            connection.close()
        else:
            sent.status = answer.status
            sent.headers = dict(answer.headers)
            sent.body = answer.body
            self.release(host, connection)
        sent.ended_at = time.monotonic()
        opened_at = self.opened_at.get(connection, sent.sent_at)
        sent.planned_stop = self.is_planned_stop(sent, opened_at)

    def is_planned_stop(self, sent: Sent, opened_at: float) -> bool:
        """Returns whether only a planned stop can have cut off a request.

        An answer may also be lost on a connection that the soak has disrupted.
        """
        stop_at = self.stop_requested_at.get(sent.host)
        if stop_at is None or self.links[sent.host].disrupted_at > opened_at:
            return False
        return sent.sent_at < stop_at + 1 < sent.ended_at

    async def acquire(self, host: str) -> HttpConnection:
        """Returns an idle connection to a host, or opens a new one."""
        idle = self.idle_connections.pop(host, None)
        if idle is not None and idle.is_usable:
            return idle
        connection = await connect(
            self.links[host].listen,
            CONNECT_TIMEOUT_S,
            USER_TIMEOUT_MS,
            MAX_ANSWER_BYTES,
            AnswerMemory(),
        )
        self.opened_at[connection] = time.monotonic()
        return connection

    def release(self, host: str, connection: HttpConnection) -> None:
        """Keeps a random share of usable connections, closes the others."""
        if connection.is_usable and self.random.random() < REUSE_SHARE:
            self.idle_connections[host] = connection
        else:
            connection.close()
            self.opened_at.pop(connection, None)

    def encode_request(self, sent: Sent) -> bytes:
        """Returns the bytes of a request."""
        method, prefix = (
            ('GET', '/read')
            if sent.idempotent
            else (
                'POST',
                '/write',
            )
        )
        body = b'' if sent.idempotent else b'x' * self.random.randrange(2000)
        head = '\r\n'.join(
            (
                f'{method} {prefix}/{sent.attempt_id} HTTP/1.1',
                'host: jobs.example',
                f'attempt-id: {sent.attempt_id}',
                f'deadline-ms: {DEADLINE_MS}',
                f'authorization: Bearer {self.key}',
                f'content-length: {len(body)}',
                '',
                '',
            )
        )
        return head.encode() + body

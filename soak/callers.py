"""Callers that keep connections open and note what they get."""

import asyncio
import itertools
import random
import time

from soak.checks import Evidence, Sent
from soak.link import Link
from teaselcove.http_connection import (
    ConnectionBrokenError,
    HttpConnection,
    connect,
)

CALL_TIMEOUT_S = 3
CONNECT_TIMEOUT_S = 1
USER_TIMEOUT_MS = 3000
MAX_ANSWER_BYTES = 100_000
KEEP_SHARE = 0.8
IDEMPOTENT_SHARE = 0.4
DEADLINE_MS = 2000


class Caller:
    """Sends requests for one organisation.

    Attributes:
        links: Ways to the hosts, by their names.
        opened: When each connection was opened.
        stopping: Hosts that were asked to stop, and when.
    """

    def __init__(
        self,
        name: str,
        organisation: str,
        key: str,
        links: dict[str, Link],
        evidence: Evidence,
        stopping: dict[str, float],
        seed: int,
    ) -> None:
        self.name = name
        self.organisation = organisation
        self.key = key
        self.links = links
        self.evidence = evidence
        self.stopping = stopping
        self.random = random.Random(seed)
        self.kept: dict[str, HttpConnection] = {}
        self.opened: dict[HttpConnection, float] = {}
        self.numbers = itertools.count(1)

    async def run(self, pause: float) -> None:
        """Sends requests until cancelled."""
        while True:
            await asyncio.sleep(self.random.expovariate(1 / pause))
            host = self.random.choice(sorted(self.links))
            await self.send(host)

    async def send(self, host: str) -> None:
        """Sends a request and notes what comes back."""
        try:
            connection = await self.connection(host)
        except (OSError, TimeoutError):
            # The host is down: nothing was sent, so nothing is noted.
            await asyncio.sleep(0.1)
            return
        sent = Sent(
            f'{self.name}-{next(self.numbers)}',
            self.organisation,
            self.key,
            self.random.random() < IDEMPOTENT_SHARE,
            host,
            time.monotonic(),
        )
        self.evidence.sent.append(sent)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await connection.exchange(self.request(sent))
        except (TimeoutError, ConnectionBrokenError):
            connection.close()
        else:
            sent.status = answer.status
            sent.headers = dict(answer.headers)
            sent.body = answer.body
            self.keep(host, connection)
        sent.ended_at = time.monotonic()
        opened_at = self.opened.get(connection, sent.sent_at)
        sent.planned_stop = self.is_planned_stop(sent, opened_at)

    def is_planned_stop(self, sent: Sent, opened_at: float) -> bool:
        """Returns whether only a planned stop can have cut a request.

        An answer may be lost on a connection that the soak has harmed.
        """
        asked = self.stopping.get(sent.host)
        if asked is None or self.links[sent.host].harmed_at > opened_at:
            return False
        return sent.sent_at < asked + 1 < sent.ended_at

    async def connection(self, host: str) -> HttpConnection:
        """Returns a kept connection or a new one."""
        kept = self.kept.pop(host, None)
        if kept is not None and kept.is_usable:
            return kept
        connection = await connect(
            self.links[host].listen,
            CONNECT_TIMEOUT_S,
            USER_TIMEOUT_MS,
            MAX_ANSWER_BYTES,
        )
        self.opened[connection] = time.monotonic()
        return connection

    def keep(self, host: str, connection: HttpConnection) -> None:
        """Keeps a connection for a later request, as a rule."""
        if connection.is_usable and self.random.random() < KEEP_SHARE:
            self.kept[host] = connection
        else:
            connection.close()
            self.opened.pop(connection, None)

    def request(self, sent: Sent) -> bytes:
        """Returns a request as bytes."""
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

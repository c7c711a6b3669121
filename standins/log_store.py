"""Stand-in for the store of the users' platform.

Serves the records of `log_records` over HTTP.
Run as `python -m standins.log_store ADDRESS PORT`. `PUT /fault` takes a
`StoreFault` as its JSON body; `PUT /record` lets a test write records on behalf
of the operator or a backend server. `POST /copy` keeps a copy of all records,
to which `POST /restore` goes back.
"""

import asyncio
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

from standins.log_records import LogStore, RejectedError
from teaselcove.platform.headers import STORE_ERA
from teaselcove.platform.store import LENGTH

READ_ONLY_TOPICS = frozenset(('keyed.op', 'keyed.servers'))
POLL_INTERVAL_S = 0.01
MS_PER_S = 1000


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

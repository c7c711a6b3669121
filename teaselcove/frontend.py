"""Connects callers' requests and attempts to the decision core."""

import asyncio
import itertools

import msgspec
from starlette.types import Receive

from teaselcove import effects as fx
from teaselcove import events as ev
from teaselcove.driver import Driver
from teaselcove.errors import Refusal
from teaselcove.ids import AttemptId, BackendServerId, Instant, RequestId
from teaselcove.proxy import BackendClient, CallerRequest
from teaselcove.readout import HostMetrics
from teaselcove.replies import Reply, answer_reply, refusal_reply
from teaselcove.settings import HostSettings


class PendingRequest(msgspec.Struct):
    """A request that waits for its reply.

    Attributes:
        attempt_seconds: Total duration of its attempts.
    """

    request: CallerRequest
    reply: asyncio.Future[Reply]
    arrived_at: Instant
    attempt_seconds: float = 0


class Frontend:
    """Handles the requests and attempts of a host.

    Attributes:
        pending: Requests that wait for a reply.
        attempts: Tasks of running attempts.
        answers: Answers of attempts whose end the core is processing.
    """

    def __init__(
        self, driver: Driver, settings: HostSettings, host_metrics: HostMetrics
    ) -> None:
        self.driver = driver
        self.settings = settings
        self.host_metrics = host_metrics
        self.backends = BackendClient(settings)
        self.pending: dict[RequestId, PendingRequest] = {}
        self.attempts: dict[AttemptId, asyncio.Task[None]] = {}
        self.answers: dict[AttemptId, ev.StoredAnswer] = {}
        self.request_numbers = itertools.count(1)
        incarnation = driver.kernel.service('membership').incarnation
        self.request_prefix = f'{settings.host}-{incarnation:x}'
        driver.effect_handlers.update(
            {
                fx.Dial: self.dial,
                fx.CancelAttempt: self.cancel_attempt,
                fx.Answer: self.answer,
                fx.Refuse: self.refuse,
                fx.CloseConnections: self.close_connections,
            }
        )

    def next_request_id(self) -> RequestId:
        """Returns a request id that is unique in the fleet."""
        return RequestId(f'{self.request_prefix}-{next(self.request_numbers)}')

    async def serve_request(
        self,
        arrival: ev.RequestArrived,
        request: CallerRequest,
        receive: Receive,
    ) -> Reply | None:
        """Returns the reply, or None if the caller has disconnected."""
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[Reply] = loop.create_future()
        request_id = arrival.request_id
        self.pending[request_id] = PendingRequest(
            request, reply, self.driver.now()
        )
        self.driver.handle_event(arrival)
        if reply.done():
            return reply.result()
        disconnect = loop.create_task(wait_for_disconnect(receive))
        await asyncio.wait((reply, disconnect), return_when='FIRST_COMPLETED')
        if reply.done():
            disconnect.cancel()
            return reply.result()
        self.driver.handle_event(ev.CallerDisconnected(request_id))
        return None

    def finish(self, request_id: RequestId, reply: Reply) -> None:
        """Passes a reply to the task that serves the request."""
        pending = self.pending.pop(request_id, None)
        if pending is not None and not pending.reply.done():
            pending.reply.set_result(reply)

    def dial(self, effect: fx.Dial) -> None:
        """Starts an attempt."""
        self.attempts[effect.attempt_id] = self.driver.spawn(
            self.attempt(effect)
        )

    async def attempt(self, effect: fx.Dial) -> None:
        """Runs an attempt and reports its end to the core."""
        pending = self.pending[effect.request_id]
        started_at = self.driver.now()
        finished = await self.backends.run(effect, pending.request)
        pending.attempt_seconds += self.driver.now() - started_at
        self.attempts.pop(effect.attempt_id, None)
        if finished.answer is not None:
            self.answers[effect.attempt_id] = finished.answer
        self.driver.handle_event(finished)
        self.answers.pop(effect.attempt_id, None)

    def cancel_attempt(self, effect: fx.CancelAttempt) -> None:
        """Cancels an attempt, which closes its connection."""
        task = self.attempts.pop(effect.attempt_id, None)
        if task is not None:
            task.cancel()

    def answer(self, effect: fx.Answer) -> None:
        """Replies with the answer of an attempt or a stored one."""
        answer = effect.recalled
        if answer is None:
            answer = self.answers[effect.attempt_id]
        pending = self.pending.get(effect.request_id)
        if pending is not None:
            total = self.driver.now() - pending.arrived_at
            self.host_metrics.record_answer(total, pending.attempt_seconds)
        self.finish(effect.request_id, answer_reply(effect.request_id, answer))

    def refuse(self, effect: fx.Refuse) -> None:
        """Replies with a refusal."""
        self.count_refusal(effect.refusal)
        self.finish(
            effect.request_id,
            refusal_reply(effect.request_id, effect.refusal),
        )

    def count_refusal(self, refusal: Refusal) -> None:
        """Counts a refusal by outcome and reason."""
        self.host_metrics.record_refusal(
            refusal.outcome.value, refusal.reason.value
        )

    def close_connections(self, effect: fx.CloseConnections) -> None:
        """Stops reusing the open connections to a backend server."""
        address = self.address_of(effect.server)
        if address is not None:
            self.backends.close_connections(address)

    def address_of(self, server: BackendServerId) -> str | None:
        """Returns the address of a backend server, or None if unknown."""
        return self.driver.kernel.service('configuration').server_address(
            server
        )


async def wait_for_disconnect(receive: Receive) -> None:
    """Returns when the caller closes its connection."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()

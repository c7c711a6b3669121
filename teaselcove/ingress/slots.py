"""Assigns slots of backend servers to waiting requests."""

import asyncio

from teaselcove.errors import Reason, Refusal, not_run
from teaselcove.ids import Instant, ServiceId
from teaselcove.ingress.balance import Pick
from teaselcove.ingress.calls import Call, RefusedError
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.queueing import QueuedRequest
from teaselcove.kernel import Kernel

# Seconds between polls of the queues: a server can become usable just by time
# passing.
POLL_INTERVAL_S = 0.05
# Retry-After in seconds of requests that a host no longer starts as it stops.
# The other hosts serve at once.
STOP_RETRY_AFTER_S = 0.05
MS_PER_S = 1000


def stop_refusal() -> RefusedError:
    """Returns the refusal of a request that another host has time for."""
    return RefusedError(not_run(Reason.DRAINING, STOP_RETRY_AFTER_S))


class Slots:
    """Assigns free slots in the order of the queue."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.futures: dict[QueuedRequest, asyncio.Future[Pick]] = {}
        self.calls: dict[QueuedRequest, Call] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def acquire(self, call: Call) -> Pick:
        """Takes a slot of a server, waiting in the queue if necessary.

        Raises:
            RefusedError: If the request cannot be served in time.
        """
        now = boot_time()
        if not self.kernel.service('stopping').allows_start(call.service, now):
            raise stop_refusal()
        queueing = self.kernel.service('queueing')
        if queueing.is_empty(call.service):
            pick = self.pick(call, now)
            if pick is not None:
                return pick
        start_by = queueing.latest_start(
            call.service, call.time_limits(now), now
        )
        requeued = bool(call.sent or call.not_run)
        waiting = queueing.enqueue(
            call.service, call.priority, start_by, now, requeued
        )
        if isinstance(waiting, Refusal):
            self.log_refusal(call, start_by, now)
            raise RefusedError(waiting)
        return await self.wait(call, waiting)

    def log_refusal(self, call: Call, start_by: Instant, now: Instant) -> None:
        """Logs the state of the queue that caused a refusal."""
        queueing = self.kernel.service('queueing')
        self.kernel.decide(
            'queue-refused',
            request=call.attempt_id,
            service=call.service,
            priority=call.priority,
            waiting=len(queueing.in_order(call.service)),
            starts_per_s=queueing.rate(call.service).per_second(now),
            standing=queueing.is_standing(call.service, now),
            may_wait_ms=int((start_by - now) * MS_PER_S),
        )

    async def wait(self, call: Call, waiting: QueuedRequest) -> Pick:
        """Waits for a slot.

        Raises:
            RefusedError: If no slot is free in time.
        """
        queueing = self.kernel.service('queueing')
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Pick] = loop.create_future()
        self.futures[waiting] = future
        self.calls[waiting] = call
        self.start_timer()
        try:
            async with asyncio.timeout(waiting.start_by - waiting.since):
                return await asyncio.shield(future)
        except (TimeoutError, asyncio.CancelledError) as error:
            if future.done() and future.exception() is None:
                self.release(future.result())
            if isinstance(error, asyncio.CancelledError):
                raise
            after = queueing.retry_after(call.service, boot_time())
            refusal = not_run(Reason.QUEUE_FULL, after)
            raise RefusedError(refusal) from error
        finally:
            self.forget(waiting)

    def forget(self, waiting: QueuedRequest) -> None:
        """Removes a request that no longer waits."""
        self.kernel.service('queueing').remove(waiting)
        self.futures.pop(waiting, None)
        self.calls.pop(waiting, None)

    def pick(
        self, call: Call, now: Instant, hedge: bool = False
    ) -> Pick | None:
        """Takes a slot for a request; returns None if none is free.

        Args:
            call: The request.
            now: Present time.
            hedge: Whether this is a hedge, which must not be a trial or use a
                server that has failed the request.
        """
        balance = self.kernel.service('balance')
        service = call.service
        allow_trial = call.allow_trial and not hedge
        pick = balance.pick(service, allow_trial, call.exclude, now)
        if pick is None and call.exclude and not hedge:
            pick = balance.pick(service, allow_trial, frozenset(), now)
        if pick is None:
            return None
        name = pick.known.server.id
        balance.started(name)
        self.kernel.service('server-limits').started(name)
        self.kernel.service('queueing').started(service, now)
        return pick

    def release(self, pick: Pick) -> None:
        """Releases a slot and assigns it to the next request."""
        self.kernel.service('balance').finished(pick.known.server.id)
        self.assign_free_slots(pick.known.service)

    def assign_free_slots(self, service: ServiceId) -> None:
        """Assigns free slots to waiting requests in queue order."""
        now = boot_time()
        queueing = self.kernel.service('queueing')
        for waiting in queueing.in_order(service):
            call = self.calls.get(waiting)
            future = self.futures.get(waiting)
            if call is None or future is None or future.done():
                continue
            pick = self.pick(call, now)
            if pick is None:
                return
            queueing.remove(waiting)
            future.set_result(pick)

    def refuse_late(self, now: Instant) -> None:
        """Refuses waiting requests that a stop leaves no time for."""
        stopping = self.kernel.service('stopping')
        for waiting, call in self.calls.items():
            future = self.futures[waiting]
            if not (future.done() or stopping.allows_start(call.service, now)):
                future.set_exception(stop_refusal())

    def start_timer(self) -> None:
        """Schedules the next poll of the queues."""
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(POLL_INTERVAL_S, self.poll_queues)

    def poll_queues(self) -> None:
        """Assigns free slots in all queues."""
        self.timer = None
        self.refuse_late(boot_time())
        services = {call.service for call in self.calls.values()}
        for service in services:
            self.assign_free_slots(service)
        if self.futures:
            self.start_timer()

"""Hands slots of backend servers to the requests that wait for them."""

import asyncio

from teaselcove.errors import Reason, Refusal, not_run
from teaselcove.ids import Instant, ServiceId
from teaselcove.ingress.balance import Pick
from teaselcove.ingress.calls import Call, RefusedError
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.queueing import Waiting
from teaselcove.kernel import Kernel

# Queues are tried again at this interval in seconds, since time alone can
# make a server usable.
RETRY_S = 0.05
MS_PER_S = 1000


class Slots:
    """Waits for a server with room in the order of the queue."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.futures: dict[Waiting, asyncio.Future[Pick]] = {}
        self.calls: dict[Waiting, Call] = {}
        self.timer: asyncio.TimerHandle | None = None

    async def acquire(self, call: Call) -> Pick:
        """Returns a server with room; its slot is taken.

        Raises:
            RefusedError: If the request cannot be served in time.
        """
        now = boot_time()
        queueing = self.kernel.service('queueing')
        if queueing.is_empty(call.service):
            pick = self.pick(call, now)
            if pick is not None:
                return pick
        start_by = queueing.latest_start(call.service, call.patience(now), now)
        again = bool(call.sent or call.not_run)
        waiting = queueing.offer(
            call.service, call.priority, start_by, now, again
        )
        if isinstance(waiting, Refusal):
            self.log_refusal(call, start_by, now)
            raise RefusedError(waiting)
        return await self.wait(call, waiting)

    def log_refusal(self, call: Call, start_by: Instant, now: Instant) -> None:
        """Writes what decided that a request may not wait."""
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

    async def wait(self, call: Call, waiting: Waiting) -> Pick:
        """Waits for a slot.

        Raises:
            RefusedError: If there is none in time.
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
            if future.done():
                self.release(future.result())
            if isinstance(error, asyncio.CancelledError):
                raise
            after = queueing.retry_after(call.service, boot_time())
            refusal = not_run(Reason.QUEUE_FULL, after)
            raise RefusedError(refusal) from error
        finally:
            self.forget(waiting)

    def forget(self, waiting: Waiting) -> None:
        """Drops a request that waits no longer."""
        self.kernel.service('queueing').remove(waiting)
        self.futures.pop(waiting, None)
        self.calls.pop(waiting, None)

    def pick(
        self, call: Call, now: Instant, hedge: bool = False
    ) -> Pick | None:
        """Takes a slot for a request, or returns None if there is none.

        Args:
            call: The request.
            now: Present time.
            hedge: Whether it runs at another server already, so that only a
                server that is well may help it.
        """
        balance = self.kernel.service('balance')
        service = call.service
        may_test = call.may_test and not hedge
        pick = balance.pick(service, may_test, call.exclude, now)
        if pick is None and call.exclude and not hedge:
            pick = balance.pick(service, may_test, frozenset(), now)
        if pick is None:
            return None
        name = pick.known.server.id
        balance.started(name)
        self.kernel.service('queueing').started(service, now)
        return pick

    def release(self, pick: Pick) -> None:
        """Gives a slot back and hands it to the next request."""
        self.kernel.service('balance').finished(pick.known.server.id)
        self.pump(pick.known.service)

    def pump(self, service: ServiceId) -> None:
        """Gives free slots to waiting requests, in order."""
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

    def start_timer(self) -> None:
        """Tries the queues again after a while."""
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(RETRY_S, self.retry)

    def retry(self) -> None:
        """Tries all queues."""
        self.timer = None
        services = {call.service for call in self.calls.values()}
        for service in services:
            self.pump(service)
        if self.futures:
            self.start_timer()

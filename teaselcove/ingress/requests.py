"""Serves callers' requests from arrival to answer."""

import asyncio
import logging
from typing import Any

from teaselcove.crashes import CrashSuspected
from teaselcove.entities import Server
from teaselcove.errors import Reason, Refusal
from teaselcove.events import AttemptResult
from teaselcove.http_connection import RawAnswer
from teaselcove.ids import Instant
from teaselcove.ingress.acceptance import Acceptance, Arrival
from teaselcove.ingress.backend import (
    OWN_ANSWERS,
    AttemptEnd,
    BackendPool,
    OutgoingRequest,
    run_attempt,
)
from teaselcove.ingress.balance import Pick
from teaselcove.ingress.calls import (
    NOT_RUN,
    Call,
    Next,
    RefusedError,
    final_refusal,
    is_failure,
    next_step,
)
from teaselcove.ingress.clock import boot_time
from teaselcove.ingress.discovery import SEND_MARGIN_S
from teaselcove.ingress.freshness import Freshness
from teaselcove.ingress.gossip import Gossip
from teaselcove.ingress.health import RunningAttempt
from teaselcove.ingress.slots import Slots, stop_refusal
from teaselcove.kernel import Kernel

log = logging.getLogger('teaselcove.requests')

# Multiple of the median service time after which an idempotent request is
# hedged at another server.
HEDGE_FACTOR = 2.5
MIN_HEDGE_S = 0.3
# Share of the retry budget that hedges leave for retries.
HEDGE_BUDGET_RESERVE = 0.4
# Seconds of waiting after which the list of servers is checked again. The list
# counts as too old by more than this before the bound.
LIST_CHECK_S = SEND_MARGIN_S / 2
MS_PER_S = 1000


class Attempt:
    """A running attempt and the server whose slot it holds."""

    def __init__(self, pick: Pick, task: asyncio.Task[AttemptEnd]) -> None:
        self.pick = pick
        self.task = task


class Requests:
    """Serves callers' requests.

    Attributes:
        running: Requests in flight.
    """

    def __init__(
        self,
        kernel: Kernel,
        pool: BackendPool,
        freshness: Freshness,
        gossip: Gossip,
    ) -> None:
        self.kernel = kernel
        self.pool = pool
        self.freshness = freshness
        self.gossip = gossip
        self.slots = Slots(kernel)
        self.running: set[Call] = set()

    def service(self, name: str) -> Any:
        """Returns a registered service of the kernel."""
        return self.kernel.service(name)

    async def serve(self, arrival: Arrival) -> RawAnswer:
        """Returns a server's answer to a request.

        Raises:
            RefusedError: If the request is refused.
        """
        arrived_at = boot_time()
        acceptance: Acceptance = self.service('acceptance')
        if acceptance.needs_confirmation(arrival, arrived_at):
            await self.freshness.confirm()
        accepted = acceptance.accept(arrival, boot_time())
        if isinstance(accepted, Refusal) and accepted.reason is Reason.RATE:
            organisation = self.service('catalog').organisation_of(arrival.key)
            if await self.gossip.tokens.obtain(organisation.id):
                accepted = acceptance.accept(arrival, boot_time())
        if isinstance(accepted, Refusal):
            raise RefusedError(accepted)
        self.running.add(accepted)
        try:
            return await self.run(accepted)
        finally:
            self.running.discard(accepted)

    async def run(self, call: Call) -> RawAnswer:
        """Makes attempts until there is an answer or none may follow.

        Raises:
            RefusedError: If there is no answer.
        """
        step = Next.RETRY
        while step is Next.RETRY:
            await self.freshness.ensure_servers()
            try:
                pick = await self.acquire_slot(call)
            except RefusedError:
                if call.answer is None:
                    raise
                return call.answer
            pick, end = await self.attempt(call, pick)
            step = self.decide(call, pick, end, boot_time())
        if call.answer is None:
            raise RefusedError(final_refusal(call, boot_time()))
        return call.answer

    def decide(
        self, call: Call, pick: Pick, end: AttemptEnd, now: Instant
    ) -> Next:
        """Decides what follows an attempt and charges the retry budget."""
        window = self.service('retry-window')
        has_budget = window.has_budget(call.service, now)
        step = next_step(call, end.result, end.status, has_budget, now)
        self.log_attempt(call, pick, end, step, now)
        if step is Next.RETRY:
            call.retries += 1
            if end.result is not AttemptResult.NOT_SENT:
                window.spend(call.service, now)
        return step

    async def acquire_slot(self, call: Call) -> Pick:
        """Waits for a slot of a server.

        Raises:
            RefusedError: If there is none in time. Its outcome is UNKNOWN if an
                earlier attempt may have run.
        """
        asked_at = boot_time()
        try:
            return await self.acquire_with_valid_key(call)
        except RefusedError as error:
            if call.sent:
                unknown = final_refusal(call, boot_time())
                raise RefusedError(unknown) from error
            raise
        finally:
            call.waited += boot_time() - asked_at

    async def acquire_listed(self, call: Call) -> Pick:
        """Waits for a slot of a server that a recent list names.

        The list may become too old while the request waits. A request that got
        its slot at once does not check it a second time.

        Raises:
            RefusedError: If there is no slot in time.
        """
        discovery = self.service('discovery')
        while True:
            asked_at = boot_time()
            pick = await self.slots.acquire(call)
            if boot_time() - asked_at < LIST_CHECK_S:
                return pick
            try:
                await self.freshness.ensure_servers()
            except asyncio.CancelledError:
                self.slots.release(pick)
                raise
            if discovery.is_usable(pick.known.server.id, boot_time()):
                return pick
            self.slots.release(pick)

    async def acquire_with_valid_key(self, call: Call) -> Pick:
        """Waits for a slot, then checks that the key is still valid.

        Raises:
            RefusedError: If there is no slot in time, the key was withdrawn or
                the host stops too soon.
        """
        pick = await self.acquire_listed(call)
        stopping = self.service('stopping')
        if not stopping.allows_start(call.service, boot_time()):
            self.slots.release(pick)
            raise stop_refusal()
        withdrawn = self.service('acceptance').recheck_key(call)
        if withdrawn is not None:
            self.slots.release(pick)
            raise RefusedError(withdrawn)
        return pick

    async def attempt(self, call: Call, pick: Pick) -> tuple[Pick, AttemptEnd]:
        """Makes an attempt and hedges it if it is slow."""
        attempts = [self.start(call, pick)]
        try:
            hedge_after = self.hedge_after(call, pick)
            if hedge_after is not None:
                await asyncio.wait([attempts[0].task], timeout=hedge_after)
                if not attempts[0].task.done():
                    attempts.extend(self.hedge(call, pick))
            return await self.first_success(call, attempts)
        finally:
            for attempt in attempts:
                attempt.task.cancel()

    async def first_success(
        self, call: Call, attempts: list[Attempt]
    ) -> tuple[Pick, AttemptEnd]:
        """Returns the first attempt that succeeds, else the last to end."""
        left = list(attempts)
        while True:
            await asyncio.wait(
                [attempt.task for attempt in left],
                return_when=asyncio.FIRST_COMPLETED,
            )
            ended = [attempt for attempt in left if attempt.task.done()]
            for attempt in ended:
                left.remove(attempt)
                end = attempt.task.result()
                self.record_result(call, attempt.pick, end)
                if not left or not is_failure(end.result, end.status):
                    return attempt.pick, end

    def start(self, call: Call, pick: Pick) -> Attempt:
        """Starts an attempt in a slot that was acquired."""
        now = boot_time()
        server = pick.known.server
        running = self.service('health').started(server.id, call.service, now)
        work = self.send(call, server, now)
        task = asyncio.get_running_loop().create_task(work)
        # Not in the coroutine, which never runs if the task is cancelled first.
        task.add_done_callback(
            lambda done: self.attempt_ended(pick, running, done)
        )
        return Attempt(pick, task)

    def attempt_ended(
        self,
        pick: Pick,
        running: RunningAttempt,
        task: asyncio.Task[AttemptEnd],
    ) -> None:
        """Updates the health of the server and releases the slot."""
        end = AttemptEnd(AttemptResult.CANCELLED)
        if not task.cancelled() and task.exception() is None:
            end = task.result()
        now = boot_time()
        self.service('health').finished(
            running, end.result_for_health, end.status, now
        )
        self.slots.release(pick)

    async def send(
        self, call: Call, server: Server, now: Instant
    ) -> AttemptEnd:
        """Sends a request to a server."""
        outgoing = OutgoingRequest(
            call.request,
            call.attempt_id,
            call.organisation.id if call.organisation else None,
            call.route.idempotent,
            call.refused_on,
        )
        return await run_attempt(
            self.pool, server, outgoing, call.time_left(now)
        )

    def record_result(self, call: Call, pick: Pick, end: AttemptEnd) -> None:
        """Records the result of an attempt in its call."""
        server = pick.known.server.id
        if end.result in NOT_RUN:
            call.not_run += 1
        else:
            call.sent.append(server)
        if end.result is AttemptResult.COMPLETE:
            call.answer = end.answer
        failed = is_failure(end.result, end.status)
        now = boot_time()
        self.service('announcements').record_answer(
            pick.known, end.announcement, now
        )
        if end.result in OWN_ANSWERS:
            self.service('server-limits').record_answer(
                server, end.limit, not failed, now
            )
        if failed and not end.stale:
            call.exclude = call.exclude | {server}
        self.record_crash(call, pick, end)

    def record_crash(self, call: Call, pick: Pick, end: AttemptEnd) -> None:
        """Detects requests that crash servers and informs the other hosts.

        A server that crashes sends no byte of an answer, so a connection that
        broke later is no crash.
        """
        acceptance: Acceptance = self.service('acceptance')
        if end.result is AttemptResult.COMPLETE:
            acceptance.crashes.clear(call.digest)
            return
        if (
            end.result is not AttemptResult.BROKEN
            or end.stale
            or end.answer_started
        ):
            return
        suspicion = CrashSuspected(call.digest, pick.known.server.id)
        self.gossip.record_suspicion(suspicion, boot_time())
        self.gossip.send_suspicion(suspicion)

    def hedge_after(self, call: Call, pick: Pick) -> float | None:
        """Returns the seconds after which to hedge, or None for never."""
        if not call.route.idempotent or call.sent:
            return None
        if call.route.max_attempts < 2:
            return None
        latency = self.service('health').median_latency(call.service)
        return max(MIN_HEDGE_S, HEDGE_FACTOR * latency)

    def hedge(self, call: Call, first: Pick) -> list[Attempt]:
        """Starts a hedge if the retry budget and the servers allow it.

        Args:
            call: The request.
            first: The server at which its first attempt is still in flight.
        """
        now = boot_time()
        if self.freshness.should_read_servers(now):
            # Waiting for a read would delay the answer of the first attempt.
            return []
        window = self.service('retry-window')
        if not window.has_budget(
            call.service, now, reserve=HEDGE_BUDGET_RESERVE
        ):
            return []
        call.exclude = call.exclude | {first.known.server.id}
        pick = self.slots.pick(call, now, hedge=True)
        if pick is None:
            return []
        window.spend(call.service, now)
        call.retries += 1
        return [self.start(call, pick)]

    def log_attempt(
        self,
        call: Call,
        pick: Pick,
        end: AttemptEnd,
        step: Next,
        now: Instant,
    ) -> None:
        """Logs an attempt."""
        log.info(
            'attempt',
            extra={
                'figures': {
                    'request': call.attempt_id,
                    'server': pick.known.server.id,
                    'zone': pick.known.server.zone,
                    'service': call.service,
                    'idempotent': call.route.idempotent,
                    'condition': pick.condition.value,
                    'trial': pick.trial,
                    'in_flight': pick.in_flight,
                    'offset': pick.known.position.offset,
                    'era': pick.known.position.era,
                    'list_age_s': round(pick.list_age, 2),
                    'result': end.result.value,
                    'status': end.status,
                    'problem': end.problem,
                    'limit': end.limit,
                    'elapsed_ms': int(end.elapsed * MS_PER_S),
                    'waited_ms': int(call.waited * MS_PER_S),
                    'age_ms': int((now - call.arrived_at) * MS_PER_S),
                    'next': step.value,
                }
            },
        )

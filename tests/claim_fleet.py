"""A fleet with non-idempotent calls and a backend that counts runs."""

import random
from collections import Counter, defaultdict

import msgspec

from standins.fleet import Fleet
from teaselcove import effects as fx
from teaselcove import events as ev
from teaselcove.configuration import STREAM, ApplyRecord
from teaselcove.errors import Outcome, Reason, Refusal
from teaselcove.events import AttemptResult
from teaselcove.ids import HostId, Instant, RequestId
from teaselcove.kernel import Kernel
from tests.support import ENTITIES, KEY_TEXT, make_settings

NOT_STARTED = (AttemptResult.NOT_SENT, AttemptResult.SHED)
# Reaction of the backend to a call: result, delay in seconds (None: never).
COMPLETE = (AttemptResult.COMPLETE, 0.02)
SLOW = (AttemptResult.COMPLETE, 0.6)
LATE = (AttemptResult.COMPLETE, 3)
SILENT = (AttemptResult.COMPLETE, None)
BROKEN = (AttemptResult.BROKEN, 0.01)
MISMATCHED = (AttemptResult.MISMATCHED, 0.01)
SHED = (AttemptResult.SHED, 0.005)
NOT_SENT = (AttemptResult.NOT_SENT, 0.001)
BEHAVIOURS = (
    *(COMPLETE, SLOW, COMPLETE, LATE, SILENT),
    *(BROKEN, MISMATCHED, SHED, NOT_SENT),
)


class Submission(msgspec.Struct, frozen=True):
    """A request that was sent to a host."""

    host: HostId
    incarnation: int
    key: str
    at: Instant


class ClaimFleet:
    """Hosts, a counting backend and the checks of each call.

    Attributes:
        behaviours: Reactions of the backend to the next dials; later dials
            complete.
        runs: Number of dials that may have run, by idempotency key.
        possibly_run: Requests of the dials that may have run.
        attempts: Request of each dial, by host and attempt.
    """

    def __init__(
        self, hosts: int, seed: int = 1, claims: str = 'majority'
    ) -> None:
        self.fleet = Fleet(seed)
        self.fleet.on_dial = self.handle_dial
        self.claims = claims
        self.behaviours: list = []
        self.runs: Counter[str] = Counter()
        self.possibly_run: set[RequestId] = set()
        self.attempts: dict = {}
        self.submitted: dict[RequestId, Submission] = {}
        self.drained: dict[tuple[HostId, int], Instant] = {}
        self.fleet.log.append(
            STREAM, msgspec.json.encode(ApplyRecord('first', 0, ENTITIES))
        )
        for index in range(1, hosts + 1):
            self.start_host(index)

    def start_host(self, index: int) -> None:
        """Starts a host; ends its earlier process first."""
        self.end_process(HostId(f'host-{index}'))
        policies = {'limiter': 'unlimited', 'claims': self.claims}
        self.fleet.add_host(
            msgspec.structs.replace(
                make_settings(**policies),
                host=f'host-{index}',
                zone='abc'[index % 3],
                address=f'127.0.1.{index}',
            )
        )

    def kernel(self, host: str) -> Kernel:
        """Returns the kernel of a host."""
        return self.fleet.hosts[host].kernel

    def incarnation(self, host: str) -> int:
        """Returns the incarnation of the process at a host."""
        running = self.fleet.hosts[host]
        return running.entry.incarnation

    def end_process(self, host: HostId) -> None:
        """Ends a process at once and discards its drain, if one had begun."""
        running = self.fleet.hosts.get(host)
        if running is not None:
            self.drained.pop((host, running.entry.incarnation), None)
            self.fleet.crash(host)

    def submit(
        self, host: str, key: str = 'k', digest: bytes = b'd'
    ) -> RequestId:
        """Sends a request to a host; returns the id of the request."""
        request_id = RequestId(f'request-{len(self.submitted) + 1}')
        incarnation = self.incarnation(host)
        self.submitted[request_id] = Submission(
            host, incarnation, key, self.fleet.now
        )
        arrival = ev.RequestArrived(
            request_id, 'POST', '/jobs/7', KEY_TEXT, key, digest
        )
        self.fleet.deliver(host, arrival)
        return request_id

    def handle_dial(self, host: HostId, dial: fx.Dial, now: Instant) -> None:
        """Simulates the backend's reaction to a dial."""
        key = self.submitted[dial.request_id].key
        self.attempts[host, dial.attempt_id] = dial.request_id
        behaviour = self.behaviours.pop(0) if self.behaviours else COMPLETE
        result, delay = behaviour
        if result not in NOT_STARTED:
            self.runs[key] += 1
            self.possibly_run.add(dial.request_id)
        if delay is None:
            return
        if delay > dial.timeout:
            result, delay = AttemptResult.TIMED_OUT, dial.timeout
        complete = result is AttemptResult.COMPLETE
        answer = ev.StoredAnswer(200, (), key.encode()) if complete else None
        status = 200 if complete else None
        self.fleet.deliver(
            host,
            ev.AttemptFinished(dial.attempt_id, result, status, False, answer),
            delay,
        )

    def outcome(self, request_id: RequestId) -> Outcome | None:
        """Returns the outcome reported to the caller."""
        for effect in self.fleet.outcomes[request_id]:
            if isinstance(effect, fx.Answer):
                return Outcome.COMPLETE
            return effect.refusal.outcome
        return None

    def refusal(self, request_id: RequestId) -> Refusal | None:
        """Returns the refusal of a request."""
        for effect in self.fleet.outcomes[request_id]:
            if isinstance(effect, fx.Refuse):
                return effect.refusal
        return None

    def reason(self, request_id: RequestId) -> Reason | None:
        """Returns the reason of a refusal."""
        refusal = self.refusal(request_id)
        return refusal.reason if refusal else None

    def drain(self, host: str) -> None:
        """Starts to drain a host."""
        incarnation = self.incarnation(host)
        self.drained.setdefault((HostId(host), incarnation), self.fleet.now)
        self.fleet.deliver(host, ev.DrainRequested())

    def check(self) -> None:
        """Checks that no call ran twice and that all answers are correct."""
        twice = {key for key, count in self.runs.items() if count > 1}
        assert not twice, f'run twice: {twice}'
        for request_id, effects in list(self.fleet.outcomes.items()):
            assert len(effects) <= 1, f'{request_id} was answered twice'
            if self.outcome(request_id) is Outcome.NOT_RUN:
                assert request_id not in self.possibly_run, (
                    f'{request_id} did run'
                )
            for effect in effects:
                if isinstance(effect, fx.Answer):
                    self.check_answer(request_id, effect)

    def check_answer(self, request_id: RequestId, answer: fx.Answer) -> None:
        """Checks that an answer belongs to its request."""
        submission = self.submitted[request_id]
        if answer.recalled is not None:
            assert answer.recalled.body == submission.key.encode()
        else:
            attempt = submission.host, answer.attempt_id
            assert self.attempts[attempt] == request_id

    def check_drains(self) -> None:
        """Checks that hosts stopped only after answering all their requests."""
        running = {
            (name, host.entry.incarnation)
            for name, host in self.fleet.hosts.items()
        }
        for request_id, submission in self.submitted.items():
            process = submission.host, submission.incarnation
            if process in self.drained.keys() - running:
                outcome = self.outcome(request_id)
                assert outcome is not None, f'{request_id} was lost'
                if submission.at <= self.drained[process]:
                    assert self.reason(request_id) is not Reason.DRAINING


def owners_of(fleet: Fleet, observer: str) -> list[HostId]:
    """Returns the hosts that own the slice of the test organisation."""
    ownership = fleet.hosts[observer].kernel.service('ownership')
    slice_id = ownership.slice_of(ENTITIES.organisations[0].id)
    return [slice_owner.host for slice_owner in ownership.owners(slice_id)]


def seeded_behaviours(seed: int, count: int) -> list:
    """Returns random reactions of a faulty backend to dials."""
    generator = random.Random(seed)
    return [generator.choice(BEHAVIOURS) for _ in range(count)]


def claim_counts(fleet: Fleet) -> dict[HostId, int]:
    """Returns the number of claims at each host."""
    counts = defaultdict(int)
    for name, host in fleet.hosts.items():
        counts[name] = len(host.kernel.service('claim_owner').store.claims)
    return counts

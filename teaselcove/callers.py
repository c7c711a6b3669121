"""Open-loop load generator with callers of several organisations."""

import itertools
import random
from collections.abc import Callable
from functools import partial

import msgspec

from teaselcove.deployments import LOAD_SHARES, PATH
from teaselcove.effects import Answer, Refuse
from teaselcove.entities import Organisation
from teaselcove.errors import Outcome, Reason
from teaselcove.events import RequestArrived
from teaselcove.fleet import Fleet
from teaselcove.ids import HostId, Instant, OrganisationId, RequestId
from teaselcove.model import OK_STATUS, Model

# One-way delay between callers and hosts.
CLIENT_DELAY_S = 0.003
# Seconds until a caller tries the next host after a failed connection.
RECONNECT_S = 0.5
# Callers of all organisations together.
CALLER_COUNT = 40
IDEMPOTENT_SHARE = 0.7
# Share of idempotent calls that repeat a popular look-up and so have the
# same digest as other calls.
POPULAR_SHARE = 0.3
POPULAR_DIGESTS = 20
MAX_CONNECT_TRIES = 3


class Caller(msgspec.Struct):
    """A caller with its cached list of host addresses.

    Attributes:
        hosts: Hosts from the last placement answer.
        expires_at: When the cached answer expires.
        position: Index of the host that was used last, before wrapping.
    """

    organisation: OrganisationId
    hosts: tuple[HostId, ...] = ()
    expires_at: float = 0
    position: int = 0


class CallRecord(msgspec.Struct):
    """A call and its outcome.

    Attributes:
        within_rate: Whether the call was within its organisation's rate.
        ended_at: When the caller received the outcome, or None.
        status: HTTP status of the answer, or None if refused.
        crashing: Whether the call crashes the server that runs it.
        resends: How often the caller may resend it after a failure.
    """

    request_id: RequestId
    organisation: OrganisationId
    sent_at: float
    idempotent: bool
    within_rate: bool
    digest: bytes
    host: HostId | None = None
    ended_at: float | None = None
    status: int | None = None
    outcome: Outcome | None = None
    reason: Reason | None = None
    crashing: bool = False
    resends: int = 0

    @property
    def succeeded(self) -> bool:
        """Whether the caller received the complete answer to this call."""
        return self.status == OK_STATUS


class RateBucket:
    """Token bucket, initially full, for the rate of an organisation."""

    def __init__(self, organisation: Organisation) -> None:
        self.rate = organisation.rate
        self.capacity = float(organisation.burst)
        self.level = self.capacity
        self.updated_at = float(0)

    def take(self, now: float) -> bool:
        """Takes a token; returns whether one was available."""
        earned = (now - self.updated_at) * self.rate
        self.level = min(self.capacity, self.level + earned)
        self.updated_at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Callers:
    """Sends the calls of all organisations and records their outcomes.

    Attributes:
        load: Calls per second of all organisations together.
        rate_factors: Factor of the usual call rate by organisation.
        records: All calls, in order of sending.
    """

    def __init__(
        self,
        fleet: Fleet,
        model: Model,
        organisations: tuple[Organisation, ...],
        key_texts: dict[OrganisationId, str],
        load: float,
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.model = model
        self.random = random.Random(seed)
        self.key_texts = key_texts
        self.load = load
        self.rate_factors = {item.id: float(1) for item in organisations}
        self.shares = dict(zip(self.rate_factors, LOAD_SHARES, strict=True))
        self.rates = {item.id: RateBucket(item) for item in organisations}
        self.call_numbers = itertools.count()
        self.records: list[CallRecord] = []
        self.by_id: dict[RequestId, CallRecord] = {}
        self.addresses: dict[str, HostId] = {}
        self.stop_at = Instant(0)
        self.callers = {
            name: [
                Caller(name) for _ in range(max(1, round(share * CALLER_COUNT)))
            ]
            for name, share in self.shares.items()
        }

    def start(self, now: Instant, stop_at: float) -> None:
        """Schedules the first call of each organisation."""
        self.stop_at = Instant(stop_at)
        self.addresses = {
            host.entry.address: name for name, host in self.fleet.hosts.items()
        }
        for name in self.callers:
            self.schedule_next(name, now)

    def schedule_next(self, name: OrganisationId, now: Instant) -> None:
        """Schedules the next call of an organisation."""
        rate = self.load * self.shares[name] * self.rate_factors[name]
        at = now + self.random.expovariate(rate)
        if at < self.stop_at:
            self.fleet.call_at(at, partial(self.send_next, name))

    def send_next(self, name: OrganisationId, now: Instant) -> None:
        """Sends a call and schedules the next one of the organisation."""
        self.schedule_next(name, now)
        idempotent = self.random.random() < IDEMPOTENT_SHARE
        self.send(self.new_record(name, now, idempotent), now)

    def new_record(
        self, name: OrganisationId, now: Instant, idempotent: bool
    ) -> CallRecord:
        """Creates the record of a new call."""
        number = next(self.call_numbers)
        record = CallRecord(
            RequestId(f'r{number}'),
            name,
            now,
            idempotent,
            self.rates[name].take(now),
            self.digest(number, idempotent),
        )
        return record

    def digest(self, number: int, idempotent: bool) -> bytes:
        """Returns the digest of a call, a popular one for some look-ups."""
        if idempotent and self.random.random() < POPULAR_SHARE:
            return f'popular-{self.random.randrange(POPULAR_DIGESTS)}'.encode()
        return f'call-{number}'.encode()

    def send(self, record: CallRecord, now: Instant) -> None:
        """Sends a call through a random caller of its organisation."""
        self.records.append(record)
        self.by_id[record.request_id] = record
        if record.crashing:
            self.model.crashing.add(record.request_id)
        caller = self.random.choice(self.callers[record.organisation])
        self.connect(record, caller, MAX_CONNECT_TRIES, now)

    def connect(
        self, record: CallRecord, caller: Caller, tries: int, now: Instant
    ) -> None:
        """Sends a call to the caller's next host, retrying if it is down."""
        self.refresh_hosts(caller, now)
        caller.position += 1
        host = caller.hosts[caller.position % len(caller.hosts)]
        if host in self.fleet.hosts:
            record.host = host
            arrive = partial(self.arrive, record)
            self.fleet.call_at(now + CLIENT_DELAY_S, arrive)
        elif tries:
            retry = partial(self.connect, record, caller, tries - 1)
            self.fleet.call_at(now + RECONNECT_S, retry)

    def refresh_hosts(self, caller: Caller, now: Instant) -> None:
        """Asks a random running host for addresses if the cache has expired."""
        if now < caller.expires_at:
            return
        asked = self.random.choice(sorted(self.fleet.hosts))
        kernel = self.fleet.hosts[asked].kernel
        answer = kernel.service('placement').hosts_for(caller.organisation, now)
        kernel.take_effects()
        hosts = tuple(
            self.addresses[address]
            for address in answer.addresses
            if address in self.addresses
        )
        caller.hosts = hosts or (asked,)
        caller.expires_at = now + answer.lifetime
        caller.position = self.random.randrange(len(caller.hosts))

    def arrive(self, record: CallRecord, now: Instant) -> None:
        """Delivers a call to its host."""
        event = RequestArrived(
            record.request_id,
            'GET' if record.idempotent else 'POST',
            PATH,
            self.key_texts[record.organisation],
            None,
            record.digest,
        )
        self.fleet.handle(record.host, event)

    def record_outcome(
        self, host: HostId, effect: Answer | Refuse, now: Instant
    ) -> None:
        """Records the outcome of a call and resends it if it failed."""
        record = self.by_id[effect.request_id]
        record.ended_at = now + CLIENT_DELAY_S
        if isinstance(effect, Answer):
            record.status = self.model.answers[(host, effect.attempt_id)]
            record.outcome = Outcome.COMPLETE
        else:
            record.outcome = effect.refusal.outcome
            record.reason = effect.refusal.reason
        if not record.succeeded and record.resends:
            self.schedule_resend(record, now)

    def schedule_resend(self, record: CallRecord, now: Instant) -> None:
        """Schedules a failed call to be resent as a new request."""
        new_call = self.new_record(record.organisation, now, record.idempotent)
        new_call.digest = record.digest
        new_call.crashing = record.crashing
        new_call.resends = record.resends - 1
        resend: Callable[[Instant], None] = partial(self.send, new_call)
        self.fleet.call_at(now + 2 * CLIENT_DELAY_S, resend)

"""Open-loop callers of several organisations, for experiments."""

import itertools
import random
from collections.abc import Callable
from functools import partial

import msgspec

from teaselcove.deployments import PATH, SHARES
from teaselcove.effects import Answer, Refuse
from teaselcove.entities import Organisation
from teaselcove.errors import Outcome, Reason
from teaselcove.events import RequestArrived
from teaselcove.fleet import Fleet
from teaselcove.ids import HostId, Instant, OrganisationId, RequestId
from teaselcove.model import OK_STATUS, Model

CLIENT_DELAY_S = 0.003
RECONNECT_S = 0.5
CALLERS_PER_SHARE = 40
IDEMPOTENT_SHARE = 0.7
# Look-ups that many callers make alike, so that their digests are equal.
POPULAR_SHARE = 0.3
POPULAR = 20
MAX_CONNECT_TRIES = 3


class Caller(msgspec.Struct):
    """One caller with its cached answer of the placement.

    Attributes:
        until: When the cached answer expires.
        position: Next address of the answer to use.
    """

    organisation: OrganisationId
    hosts: tuple[HostId, ...] = ()
    until: float = 0
    position: int = 0


class CallRecord(msgspec.Struct):
    """One call of a caller and how it ended.

    Attributes:
        within_rate: Whether its organisation was inside its rate.
        ended_at: When the caller learned the outcome, or None.
        status: HTTP status of the answer, or None if refused.
        crashing: Whether it crashes the server that runs it.
        resends: How often its caller sends it again after a failure.
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
        """Whether the caller got the complete answer to its own call."""
        return self.status == OK_STATUS


class OfferedRate:
    """Token bucket that starts full; tells which calls are within a rate."""

    def __init__(self, organisation: Organisation) -> None:
        self.rate = organisation.rate
        self.capacity = float(organisation.burst)
        self.level = self.capacity
        self.updated = float(0)

    def take(self, now: float) -> bool:
        """Takes a token if there is one."""
        earned = (now - self.updated) * self.rate
        self.level = min(self.capacity, self.level + earned)
        self.updated = now
        if self.level < 1:
            return False
        self.level -= 1
        return True


class Callers:
    """Sends the calls of all organisations and keeps how they ended.

    Attributes:
        load: Calls per second of all organisations together.
        factors: Factor of the usual rate by organisation.
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
        self.factors = {item.id: float(1) for item in organisations}
        self.shares = dict(zip(self.factors, SHARES, strict=True))
        self.rates = {item.id: OfferedRate(item) for item in organisations}
        self.numbers = itertools.count()
        self.records: list[CallRecord] = []
        self.by_id: dict[RequestId, CallRecord] = {}
        self.addresses: dict[str, HostId] = {}
        self.stop_at = Instant(0)
        self.callers = {
            name: [
                Caller(name)
                for _ in range(max(1, round(share * CALLERS_PER_SHARE)))
            ]
            for name, share in self.shares.items()
        }

    def start(self, now: Instant, stop_at: float) -> None:
        """Starts the calls of all organisations."""
        self.stop_at = Instant(stop_at)
        self.addresses = {
            host.entry.address: name for name, host in self.fleet.hosts.items()
        }
        for name in self.callers:
            self.schedule_next(name, now)

    def schedule_next(self, name: OrganisationId, now: Instant) -> None:
        """Schedules the next call of an organisation."""
        rate = self.load * self.shares[name] * self.factors[name]
        at = now + self.random.expovariate(rate)
        if at < self.stop_at:
            self.fleet.call_at(at, partial(self.send_next, name))

    def send_next(self, name: OrganisationId, now: Instant) -> None:
        """Sends a call of an organisation."""
        self.schedule_next(name, now)
        idempotent = self.random.random() < IDEMPOTENT_SHARE
        self.send(self.new_record(name, now, idempotent), now)

    def new_record(
        self, name: OrganisationId, now: Instant, idempotent: bool
    ) -> CallRecord:
        """Returns the record of a new call."""
        number = next(self.numbers)
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
        """Returns the digest of a call."""
        if idempotent and self.random.random() < POPULAR_SHARE:
            return f'popular-{self.random.randrange(POPULAR)}'.encode()
        return f'call-{number}'.encode()

    def send(self, record: CallRecord, now: Instant) -> None:
        """Sends a call through one of its organisation's callers."""
        self.records.append(record)
        self.by_id[record.request_id] = record
        if record.crashing:
            self.model.crashing.add(record.request_id)
        caller = self.random.choice(self.callers[record.organisation])
        self.connect(record, caller, MAX_CONNECT_TRIES, now)

    def connect(
        self, record: CallRecord, caller: Caller, tries: int, now: Instant
    ) -> None:
        """Sends a call to the next host of the caller's answer."""
        self.refresh(caller, now)
        caller.position += 1
        host = caller.hosts[caller.position % len(caller.hosts)]
        if host in self.fleet.hosts:
            record.host = host
            arrive = partial(self.arrive, record)
            self.fleet.call_at(now + CLIENT_DELAY_S, arrive)
        elif tries:
            again = partial(self.connect, record, caller, tries - 1)
            self.fleet.call_at(now + RECONNECT_S, again)

    def refresh(self, caller: Caller, now: Instant) -> None:
        """Asks any live host for addresses when the answer has expired."""
        if now < caller.until:
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
        caller.until = now + answer.lifetime
        caller.position = self.random.randrange(len(caller.hosts))

    def arrive(self, record: CallRecord, now: Instant) -> None:
        """Gives a call to its host."""
        event = RequestArrived(
            record.request_id,
            'GET' if record.idempotent else 'POST',
            PATH,
            self.key_texts[record.organisation],
            None,
            record.digest,
        )
        self.fleet.handle(record.host, event)

    def ended(
        self, host: HostId, effect: Answer | Refuse, now: Instant
    ) -> None:
        """Notes the outcome of a call."""
        record = self.by_id[effect.request_id]
        record.ended_at = now + CLIENT_DELAY_S
        if isinstance(effect, Answer):
            record.status = self.model.answers[(host, effect.attempt_id)]
            record.outcome = Outcome.COMPLETE
        else:
            record.outcome = effect.refusal.outcome
            record.reason = effect.refusal.reason
        if not record.succeeded and record.resends:
            self.send_again(record, now)

    def send_again(self, record: CallRecord, now: Instant) -> None:
        """Lets the caller send a failed call again as a new request."""
        again = self.new_record(record.organisation, now, record.idempotent)
        again.digest = record.digest
        again.crashing = record.crashing
        again.resends = record.resends - 1
        resend: Callable[[Instant], None] = partial(self.send, again)
        self.fleet.call_at(now + 2 * CLIENT_DELAY_S, resend)

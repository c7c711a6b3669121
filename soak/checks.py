"""What callers and backend servers have seen, and the promises about it."""

from collections import Counter

import msgspec

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Sent(msgspec.Struct):
    """A caller's request and what came back.

    Attributes:
        sent_at: Monotonic time, the same for all processes of a machine.
        host: The host that it was sent to.
        status: None if the connection ended without a whole answer.
        planned_stop: Whether the host was asked to stop, and nothing else
            happened, while the request ran.
    """

    attempt_id: str
    organisation: str
    key: str
    idempotent: bool
    host: str
    sent_at: float
    ended_at: float = 0
    status: int | None = None
    headers: dict[str, str] = {}
    body: bytes = b''
    planned_stop: bool = False


class Run(msgspec.Struct, frozen=True):
    """A run of a request at a backend server."""

    attempt_id: str
    organisation: str
    server: str
    at: float


class Withdrawal(msgspec.Struct, frozen=True):
    """A key that was taken away at a time."""

    key: str
    at: float


class Span(msgspec.Struct, frozen=True):
    """A time in which hosts may not have heard the store."""

    start: float
    end: float


class Breach(msgspec.Struct, frozen=True):
    """A promise that did not hold."""

    promise: str
    what: str


class Evidence(msgspec.Struct):
    """All that a soak has seen."""

    sent: list[Sent] = msgspec.field(default_factory=list)
    runs: list[Run] = msgspec.field(default_factory=list)
    withdrawn: list[Withdrawal] = msgspec.field(default_factory=list)
    leaving: dict[str, float] = msgspec.field(default_factory=dict)
    store_harm: list[Span] = msgspec.field(default_factory=list)
    revoke_s: float = 5
    drain_s: float = 2
    quota_window_s: float = 5
    quota_bounds: dict[str, float] = msgspec.field(default_factory=dict)

    def breaches(self) -> list[Breach]:
        """Returns the promises that did not hold."""
        return [
            *self.repeated(),
            *self.untrue_refusals(),
            *self.foreign_answers(),
            *self.wrong_organisations(),
            *self.withdrawn_keys(),
            *self.overspent(),
            *self.work_for_leaving(),
            *self.cut_by_stop(),
        ]

    def repeated(self) -> list[Breach]:
        """Finds requests that may run once and ran again."""
        counts = Counter(run.attempt_id for run in self.runs)
        return [
            Breach('at-most-once', f'{sent.attempt_id} ran {count} times')
            for sent in self.sent
            if not sent.idempotent and (count := counts[sent.attempt_id]) > 1
        ]

    def untrue_refusals(self) -> list[Breach]:
        """Finds refusals that say "not run" of requests that ran."""
        ran = {run.attempt_id for run in self.runs}
        return [
            Breach('true-refusal', f'{sent.attempt_id} got {sent.status}')
            for sent in self.sent
            if sent.status in NOT_RUN_STATUSES
            and sent.attempt_id in ran
            and not sent.idempotent
        ]

    def foreign_answers(self) -> list[Breach]:
        """Finds successes that are not the whole own answer."""
        return [
            Breach('own-answer', f'{sent.attempt_id}: {sent.body[:80]!r}')
            for sent in self.sent
            if sent.status == 200
            and not (
                sent.body.endswith(b'}')
                and sent.attempt_id.encode() in sent.body
                and 'response-signature' in sent.headers
            )
        ]

    def wrong_organisations(self) -> list[Breach]:
        """Finds runs for another organisation than the caller's."""
        own = {sent.attempt_id: sent.organisation for sent in self.sent}
        return [
            Breach('organisation', f'{run.attempt_id}: {run.organisation}')
            for run in self.runs
            if own.get(run.attempt_id) != run.organisation
        ]

    def withdrawn_keys(self) -> list[Breach]:
        """Finds runs with a key that was taken away before."""
        until = {item.key: item.at + self.revoke_s for item in self.withdrawn}
        ran = {run.attempt_id for run in self.runs}
        return [
            Breach('withdrawn-key', f'{sent.attempt_id} at {sent.sent_at}')
            for sent in self.sent
            if sent.attempt_id in ran
            and sent.sent_at > until.get(sent.key, float('inf'))
        ]

    def overspent(self) -> list[Breach]:
        """Finds windows in which an organisation ran too much."""
        breaches = []
        for organisation, bound in self.quota_bounds.items():
            times = sorted(
                run.at for run in self.runs if run.organisation == organisation
            )
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - self.quota_window_s:
                    first += 1
                if last - first + 1 > bound:
                    what = f'{organisation}: {last - first + 1} until {at}'
                    breaches.append(Breach('rate', what))
                    break
        return breaches

    def work_for_leaving(self) -> list[Breach]:
        """Finds requests at a server long after all know that it leaves."""
        return [
            Breach('leaving', f'{run.attempt_id} at {run.server}')
            for run in self.runs
            if run.server in self.leaving
            and run.at > self.known_leaving(run) + self.drain_s
        ]

    def known_leaving(self, run: Run) -> float:
        """Returns since when every host could know that a server leaves.

        A host that did not hear the store meanwhile may not know.
        """
        left_at = self.leaving[run.server]
        harmed = [
            span.end
            for span in self.store_harm
            if span.start < run.at and span.end > left_at
        ]
        return max([left_at, *harmed])

    def cut_by_stop(self) -> list[Breach]:
        """Finds requests that a planned stop has cut."""
        ran = {run.attempt_id for run in self.runs}
        return [
            Breach('stop', f'{sent.attempt_id} at {sent.host}')
            for sent in self.sent
            if sent.planned_stop
            and sent.status is None
            and sent.attempt_id in ran
        ]

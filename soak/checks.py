"""Observations of callers and backend servers, checked for broken promises."""

from collections import Counter

import msgspec

# Statuses with which a host promises that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Sent(msgspec.Struct):
    """A caller's request and its outcome.

    Attributes:
        sent_at: Monotonic time; all processes of a machine share its clock.
        host: The host that the request was sent to.
        status: None if the connection ended before the answer was complete.
        planned_stop: Whether a planned stop of the host, and no other fault,
            coincided with the request.
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
    """One execution of a request by a backend server."""

    attempt_id: str
    organisation: str
    server: str
    at: float


class Withdrawal(msgspec.Struct, frozen=True):
    """A key and the time of its withdrawal."""

    key: str
    at: float


class Span(msgspec.Struct, frozen=True):
    """A period in which hosts may have had no contact with the store."""

    start: float
    end: float


class OwnEnd(msgspec.Struct, frozen=True):
    """End of a host's process that the soak has not caused.

    Attributes:
        code: Exit code, negative for a signal; None if it did not end in time
            after a request to stop.
    """

    host: str
    code: int | None
    at: float


class Breach(msgspec.Struct, frozen=True):
    """A broken promise.

    Attributes:
        promise: Name of the promise.
        what: What broke it.
    """

    promise: str
    what: str


class Evidence(msgspec.Struct):
    """All observations of a soak.

    Attributes:
        leaving: Monotonic time at which the store recorded that a server
            leaves, by server; infinite until then.
        store_harm: Periods in which hosts may have had no contact with the
            store.
        revoke_s: Seconds after which a withdrawn key must be refused.
        drain_s: Seconds after which a leaving server must get no requests.
        quota_window_s: Length of the window over which runs are counted.
        quota_bounds: Maximum of runs per window, by organisation.
    """

    sent: list[Sent] = msgspec.field(default_factory=list)
    runs: list[Run] = msgspec.field(default_factory=list)
    withdrawn: list[Withdrawal] = msgspec.field(default_factory=list)
    leaving: dict[str, float] = msgspec.field(default_factory=dict)
    store_harm: list[Span] = msgspec.field(default_factory=list)
    revoke_s: float = 5
    drain_s: float = 2
    quota_window_s: float = 5
    quota_bounds: dict[str, float] = msgspec.field(default_factory=dict)
    own_ends: list[OwnEnd] = msgspec.field(default_factory=list)

    def breaches(self) -> list[Breach]:
        """Returns all breaches of the promises."""
        return [
            *self.find_repeated_runs(),
            *self.find_untrue_refusals(),
            *self.find_foreign_answers(),
            *self.find_wrong_organisations(),
            *self.find_withdrawn_keys(),
            *self.find_quota_overruns(),
            *self.find_late_runs(),
            *self.find_cut_requests(),
            *self.find_own_ends(),
        ]

    def find_repeated_runs(self) -> list[Breach]:
        """Finds requests that are not idempotent and ran more than once."""
        counts = Counter(run.attempt_id for run in self.runs)
        return [
            Breach('at-most-once', f'{sent.attempt_id} ran {count} times')
            for sent in self.sent
            if not sent.idempotent and (count := counts[sent.attempt_id]) > 1
        ]

    def find_untrue_refusals(self) -> list[Breach]:
        """Finds "not run" refusals of requests that ran."""
        ran = {run.attempt_id for run in self.runs}
        return [
            Breach('true-refusal', f'{sent.attempt_id} got {sent.status}')
            for sent in self.sent
            if sent.status in NOT_RUN_STATUSES
            and sent.attempt_id in ran
            and not sent.idempotent
        ]

    def find_foreign_answers(self) -> list[Breach]:
        """Finds successes whose answer is incomplete or of another request."""
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

    def find_wrong_organisations(self) -> list[Breach]:
        """Finds runs that were attributed to another organisation."""
        own = {sent.attempt_id: sent.organisation for sent in self.sent}
        return [
            Breach('organisation', f'{run.attempt_id}: {run.organisation}')
            for run in self.runs
            if own.get(run.attempt_id) != run.organisation
        ]

    def find_withdrawn_keys(self) -> list[Breach]:
        """Finds requests that ran although their key was withdrawn before."""
        until = {item.key: item.at + self.revoke_s for item in self.withdrawn}
        ran = {run.attempt_id for run in self.runs}
        return [
            Breach('withdrawn-key', f'{sent.attempt_id} at {sent.sent_at}')
            for sent in self.sent
            if sent.attempt_id in ran
            and sent.sent_at > until.get(sent.key, float('inf'))
        ]

    def find_quota_overruns(self) -> list[Breach]:
        """Finds organisations that exceeded their quota in a sliding window."""
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

    def find_late_runs(self) -> list[Breach]:
        """Finds runs at a leaving server after its drain time.

        The drain time starts when every host knows that the server leaves.
        """
        return [
            Breach('leaving', f'{run.attempt_id} at {run.server}')
            for run in self.runs
            if run.server in self.leaving
            and run.at > self.leaving_known_at(run) + self.drain_s
        ]

    def leaving_known_at(self, run: Run) -> float:
        """Returns when every host could know that the server of a run leaves.

        Hosts without contact with the store learn it only afterwards.
        """
        left_at = self.leaving[run.server]
        contact_at = [
            span.end
            for span in self.store_harm
            if span.start < run.at and span.end > left_at
        ]
        return max([left_at, *contact_at])

    def find_cut_requests(self) -> list[Breach]:
        """Finds requests that ran and whose answer a planned stop cut off."""
        ran = {run.attempt_id for run in self.runs}
        return [
            Breach('stop', f'{sent.attempt_id} at {sent.host}')
            for sent in self.sent
            if sent.planned_stop
            and sent.status is None
            and sent.attempt_id in ran
        ]

    def find_own_ends(self) -> list[Breach]:
        """Finds processes that did not start, or ended by themselves."""
        return [
            Breach('own-end', f'{end.host} with {end.code} at {end.at}')
            for end in self.own_ends
        ]

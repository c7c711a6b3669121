"""Types of failures: refusals that callers see and exceptions."""

from enum import Enum

import msgspec


class Outcome(Enum):
    """What is known about the run of a request."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(Enum):
    """Why a request was refused, as callers see it in a header."""

    NO_ROUTE = 'no-route'
    BAD_KEY = 'bad-key'
    NOT_ALLOWED = 'not-allowed'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    NO_CONFIGURATION = 'no-configuration'
    ISOLATED = 'isolated'
    RATE = 'rate'
    RATE_UNAVAILABLE = 'rate-unavailable'
    CLAIM_UNAVAILABLE = 'claim-unavailable'
    CLAIM_RUNNING = 'claim-running'
    CLAIM_CONFLICT = 'claim-conflict'
    CLAIM_UNKNOWN = 'claim-unknown'
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    NO_SERVER = 'no-server'
    CRASHING_REQUEST = 'crashing-request'
    ANSWER_LOST = 'answer-lost'
    DRAINING = 'draining'


STATUS_BY_REASON = {
    Reason.NO_ROUTE: 404,
    Reason.BAD_KEY: 401,
    Reason.NOT_ALLOWED: 403,
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.RATE: 429,
    Reason.CLAIM_CONFLICT: 422,
    Reason.CLAIM_RUNNING: 409,
    Reason.CRASHING_REQUEST: 422,
    Reason.ANSWER_LOST: 502,
}
DEFAULT_REFUSAL_STATUS = 503
UNKNOWN_DEADLINE_STATUS = 504


class Refusal(msgspec.Struct, frozen=True):
    """An answer that says why a request got no answer of its own.

    Attributes:
        outcome: NOT_RUN only when the request provably did not start.
        reason: The machine-readable reason.
        retry_after: Seconds until a new try is worthwhile, or None.
    """

    outcome: Outcome
    reason: Reason
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status of this refusal."""
        late = self.reason is Reason.DEADLINE
        if late and self.outcome is Outcome.UNKNOWN:
            return UNKNOWN_DEADLINE_STATUS
        return STATUS_BY_REASON.get(self.reason, DEFAULT_REFUSAL_STATUS)


def not_run(reason: Reason, retry_after: float | None = None) -> Refusal:
    """Returns a refusal of a request that did not start."""
    return Refusal(Outcome.NOT_RUN, reason, retry_after)


class TeaselcoveError(Exception):
    """Base class of the exceptions of this package."""


class UnknownEntryError(TeaselcoveError):
    """A registry has no entry of the given name."""

    def __init__(self, registry: str, name: str, known: list[str]) -> None:
        self.registry = registry
        self.name = name
        self.known = known
        names = ', '.join(known)
        super().__init__(f'no {registry} named {name!r}; known: {names}')


class DuplicateEntryError(TeaselcoveError):
    """Two entries of a registry have the same name."""

    def __init__(self, registry: str, name: str) -> None:
        self.registry = registry
        self.name = name
        super().__init__(f'{registry} {name!r} is registered twice')


class FieldError(TeaselcoveError):
    """A value in a file of settings or configuration is not valid.

    Attributes:
        path: The file.
        line: The line, counted from 1.
        field: The dotted name of the field, empty for the whole file.
        problem: What is wrong with the value.
    """

    def __init__(self, path: str, line: int, field: str, problem: str) -> None:
        self.path = path
        self.line = line
        self.field = field
        self.problem = problem
        place = f'{path}:{line}: {field}: ' if field else f'{path}:{line}: '
        super().__init__(place + problem)


class CodecError(TeaselcoveError):
    """Bytes from a peer or the log are not a known message."""


class StoreUnavailableError(TeaselcoveError):
    """The log or the list did not answer; nothing took effect."""


class AppendUnknownError(TeaselcoveError):
    """The reply to an append was lost; the record may be in the log."""


class HistoryLostError(TeaselcoveError):
    """The store no longer keeps the records that were asked for."""


class SettingsError(TeaselcoveError):
    """The settings of a process cannot be used."""

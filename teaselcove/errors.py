"""Refusals that callers receive, and exceptions."""

from enum import Enum

import msgspec


class Outcome(Enum):
    """What is known about the execution of a request."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(Enum):
    """Reason for a refusal, sent to the caller in a header."""

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
    """An answer that the host sends in place of a server's answer.

    Attributes:
        outcome: Whether the request ran; NOT_RUN only if it provably did not.
        reason: The machine-readable reason.
        retry_after: Seconds after which the caller should retry, or None.
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
    """Returns the refusal of a request that provably did not run."""
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
    """A value in a settings or configuration file is invalid.

    Attributes:
        path: The file.
        line: The line number, from 1.
        field: The dotted name of the field, or empty for the whole file.
        problem: What is wrong with the value.
    """

    def __init__(self, path: str, line: int, field: str, problem: str) -> None:
        self.path = path
        self.line = line
        self.field = field
        self.problem = problem
        location = f'{path}:{line}: {field}: ' if field else f'{path}:{line}: '
        super().__init__(location + problem)


class CodecError(TeaselcoveError):
    """Bytes from a peer or the log could not be decoded."""


class StoreUnavailableError(TeaselcoveError):
    """The log or the host list did not answer; nothing took effect."""


class AppendUnknownError(TeaselcoveError):
    """The reply to an append was lost; the record may have been written."""


class HistoryLostError(TeaselcoveError):
    """The store no longer has the requested records."""


class SettingsError(TeaselcoveError):
    """The settings of a process are invalid."""

"""Health of backend servers, judged by real work."""

from typing import Any, Protocol

from teaselcove.attempts import Attempt
from teaselcove.events import AttemptResult
from teaselcove.ids import BackendServerId, Instant
from teaselcove.kernel import Kernel, services
from teaselcove.registry import Registry


class EjectionPolicy(Protocol):
    """Interface of the policies that eject backend servers."""

    def started(self, attempt: Attempt, now: Instant) -> None:
        """Notes that an attempt is in flight."""

    def finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Notes how an attempt ended."""

    def weight(self, server: BackendServerId, now: Instant) -> float:
        """Returns the share of work for a server, from 0 to 1."""


ejection_policies: Registry[Any] = Registry('ejection policy')


@ejection_policies.register('none')
class NoEjection:
    """Baseline that never ejects."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def started(self, attempt: Attempt, now: Instant) -> None:
        """Does nothing."""

    def finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Does nothing."""

    def weight(self, server: BackendServerId, now: Instant) -> float:
        """Returns a full share."""
        return 1


@services.register('health')
class Health:
    """Asks the ejection policy that the settings choose."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        name = kernel.settings.policies.ejection
        self.policy: EjectionPolicy = ejection_policies.get(name)(kernel)

    def started(self, attempt: Attempt, now: Instant) -> None:
        """Notes that an attempt is in flight."""
        self.policy.started(attempt, now)

    def finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Notes how an attempt ended."""
        self.policy.finished(attempt, result, status, now)

    def weight(self, server: BackendServerId, now: Instant) -> float:
        """Returns the share of work for a server, from 0 to 1."""
        return self.policy.weight(server, now)

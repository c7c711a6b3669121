"""Health of backend servers, derived from the results of calls."""

from collections import Counter
from typing import Any, Protocol

from teaselcove.attempts import Attempt
from teaselcove.entities import Service
from teaselcove.events import AttemptResult
from teaselcove.floors import limit_ejections
from teaselcove.ids import BackendServerId, Instant
from teaselcove.kernel import Kernel, on, services
from teaselcove.registry import Registry
from teaselcove.views import CallsOverdue, ServersSuspected

SERVER_ERROR_STATUS = 500


class EjectionPolicy(Protocol):
    """Interface of the policies that eject backend servers."""

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Records the start of an attempt."""

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Records the result of an attempt."""

    def weights(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, float]:
        """Returns the shares of work of a service's servers, 0 to 1."""

    def trial(
        self, service: Service, idempotent: bool, now: Instant
    ) -> BackendServerId | None:
        """Returns an ejected server that the next call should try."""

    def calls_overdue(self, event: CallsOverdue, now: Instant) -> None:
        """Handles calls in flight that are overdue."""

    def renew_connections(self, server: BackendServerId, now: Instant) -> None:
        """Stops the reuse of connections to a server."""

    def needs_new_connection(
        self, server: BackendServerId, now: Instant
    ) -> bool:
        """Returns whether calls to a server must use a new connection."""


ejection_policies: Registry[Any] = Registry('ejection policy')


@ejection_policies.register('none')
class NoEjection:
    """Baseline that never ejects."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Does nothing."""

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Does nothing."""

    def weights(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, float]:
        """Returns full shares."""
        return {server.id: 1 for server in service.servers}

    def trial(
        self, service: Service, idempotent: bool, now: Instant
    ) -> BackendServerId | None:
        """Returns None."""

    def calls_overdue(self, event: CallsOverdue, now: Instant) -> None:
        """Does nothing."""

    def renew_connections(self, server: BackendServerId, now: Instant) -> None:
        """Does nothing."""

    def needs_new_connection(
        self, server: BackendServerId, now: Instant
    ) -> bool:
        """Returns False."""
        return False


@ejection_policies.register('consecutive-failures')
class ConsecutiveFailures(NoEjection):
    """Baseline that ejects a server after consecutive failures.

    Each host counts only its own calls.
    """

    # Usual defaults of this method.
    failure_limit = 5
    ejection_s = 30

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.failures: Counter[BackendServerId] = Counter()
        self.ejected_until: dict[BackendServerId, Instant] = {}

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Counts consecutive failures and ejects the server at the limit."""
        if result in {AttemptResult.SHED, AttemptResult.CANCELLED}:
            return
        complete = result is AttemptResult.COMPLETE
        if complete and (status or 0) < SERVER_ERROR_STATUS:
            self.failures.pop(attempt.server, None)
            return
        self.failures[attempt.server] += 1
        if self.failures[attempt.server] >= self.failure_limit:
            self.failures.pop(attempt.server)
            self.ejected_until[attempt.server] = Instant(now + self.ejection_s)

    def is_ejected(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server is ejected at present."""
        return self.ejected_until.get(server, now) > now

    def weights(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, float]:
        """Returns share 0 for ejected servers, as far as the floor allows."""
        routing = self.kernel.service('routing')
        active = [
            server.id
            for server in service.servers
            if not routing.is_leaving(server.id, now)
        ]
        unhealthy = [
            server for server in active if self.is_ejected(server, now)
        ]
        ejected = limit_ejections(
            unhealthy, len(active) - len(unhealthy), service.floor
        )
        return {
            server.id: float(server.id not in ejected)
            for server in service.servers
        }


@services.register('health')
class Health:
    """Delegates to the ejection policy that the settings select."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        name = kernel.settings.policies.ejection
        self.policy: EjectionPolicy = ejection_policies.get(name)(kernel)

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Records the start of an attempt."""
        self.policy.attempt_started(attempt, now)

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Records the result of an attempt."""
        self.policy.attempt_finished(attempt, result, status, now)

    @on(CallsOverdue)
    def calls_overdue(self, event: CallsOverdue, now: Instant) -> None:
        """Handles calls in flight that are overdue."""
        self.policy.calls_overdue(event, now)

    @on(ServersSuspected)
    def servers_suspected(self, event: ServersSuspected, now: Instant) -> None:
        """Stops the reuse of connections to servers that may be unhealthy."""
        for server in event.servers:
            self.policy.renew_connections(server, now)

    def weights(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, float]:
        """Returns the shares of work of a service's servers, 0 to 1."""
        return self.policy.weights(service, now)

    def weight(self, server: BackendServerId, now: Instant) -> float:
        """Returns the share of work of a server, from 0 to 1."""
        service = self.kernel.service('configuration').service_of(server)
        return 1 if service is None else self.weights(service, now)[server]

    def trial(
        self, service: Service, idempotent: bool, now: Instant
    ) -> BackendServerId | None:
        """Returns an ejected server that the next call should try."""
        return self.policy.trial(service, idempotent, now)

    def needs_new_connection(
        self, server: BackendServerId, now: Instant
    ) -> bool:
        """Returns whether calls to a server must use a new connection."""
        return self.policy.needs_new_connection(server, now)

"""Health of backend servers, judged by real work."""

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
        """Notes that an attempt is in flight."""

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Notes how an attempt ended."""

    def weights(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, float]:
        """Returns the shares of work of a service's servers, 0 to 1."""

    def trial(
        self, service: Service, idempotent: bool, now: Instant
    ) -> BackendServerId | None:
        """Returns an ejected server that the next call should try."""

    def calls_overdue(self, event: CallsOverdue, now: Instant) -> None:
        """Acts on calls in flight that are late."""

    def renew_connections(self, server: BackendServerId, now: Instant) -> None:
        """Stops to trust the kept connections to a server."""

    def needs_new_connection(
        self, server: BackendServerId, now: Instant
    ) -> bool:
        """Returns whether kept connections to a server are not trusted."""


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
    """Baseline that ejects after failures in a row seen by this host."""

    # Usual defaults of this method.
    failure_limit = 5
    hold_s = 30

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.failures: Counter[BackendServerId] = Counter()
        self.out_until: dict[BackendServerId, Instant] = {}

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Counts failures in a row."""
        if result in {AttemptResult.SHED, AttemptResult.CANCELLED}:
            return
        complete = result is AttemptResult.COMPLETE
        if complete and (status or 0) < SERVER_ERROR_STATUS:
            self.failures.pop(attempt.server, None)
            return
        self.failures[attempt.server] += 1
        if self.failures[attempt.server] >= self.failure_limit:
            self.failures.pop(attempt.server)
            self.out_until[attempt.server] = Instant(now + self.hold_s)

    def is_held(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a server was ejected lately."""
        return self.out_until.get(server, now) > now

    def weights(
        self, service: Service, now: Instant
    ) -> dict[BackendServerId, float]:
        """Returns no share for servers on hold, within the floor."""
        routing = self.kernel.service('routing')
        staying = [
            server.id
            for server in service.servers
            if not routing.is_leaving(server.id, now)
        ]
        wanted = [server for server in staying if self.is_held(server, now)]
        out = limit_ejections(wanted, len(staying) - len(wanted), service.floor)
        return {
            server.id: float(server.id not in out) for server in service.servers
        }


@services.register('health')
class Health:
    """Asks the ejection policy that the settings choose."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        name = kernel.settings.policies.ejection
        self.policy: EjectionPolicy = ejection_policies.get(name)(kernel)

    def attempt_started(self, attempt: Attempt, now: Instant) -> None:
        """Notes that an attempt is in flight."""
        self.policy.attempt_started(attempt, now)

    def attempt_finished(
        self,
        attempt: Attempt,
        result: AttemptResult,
        status: int | None,
        now: Instant,
    ) -> None:
        """Notes how an attempt ended."""
        self.policy.attempt_finished(attempt, result, status, now)

    @on(CallsOverdue)
    def calls_overdue(self, event: CallsOverdue, now: Instant) -> None:
        """Acts on calls in flight that are late."""
        self.policy.calls_overdue(event, now)

    @on(ServersSuspected)
    def servers_suspected(self, event: ServersSuspected, now: Instant) -> None:
        """Stops to trust the connections to servers that may be sick."""
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
        """Returns whether kept connections to a server are not trusted."""
        return self.policy.needs_new_connection(server, now)

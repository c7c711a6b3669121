"""Request rates that backend servers limit all hosts together to.

Load: servers in need name a limit in their answers, several servers of a
service at once. Each place in the list of hosts in use has an equal share of
every limit, so the sum holds without agreement, also while hosts cannot reach
each other. Hosts that are not in use send no requests to such a server.
"""

import msgspec

from teaselcove.ids import BackendServerId, Instant
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel
from teaselcove.placement import rendezvous_score
from teaselcove.rates import Bucket

# The users' bound: in any window of this many seconds a server may get at most
# this multiple of what its limit allows, and this many requests more.
BOUND_WINDOW_S = 4
BOUND_FACTOR = 1.5
BOUND_REQUESTS = 5
# Requests of the bound left for those that take different times to arrive.
ARRIVAL_RESERVE = 1
# Seconds for which a host may save up its share, at least one request.
BURST_S = 0.5
# Lower bound of the limit in requests per second. A limit of zero would never
# end, because only an answer shows its end.
MIN_LIMIT = 0.25
# Seconds after a limit was named here in which another host's report that it
# has ended is ignored, because the report may be older.
REPORT_DELAY_S = 0.5


class LimitedServer(msgspec.Struct):
    """A server that named a limit.

    Attributes:
        limit: Requests per second from all hosts together.
        bucket: This host's share.
        named_at: When an answer to this host last named the limit, or None.
    """

    limit: float
    bucket: Bucket
    named_at: Instant | None = None


@ingress_services.register('server-limits')
class ServerLimits:
    """Keeps the limits of the servers and this host's share of each.

    Attributes:
        changes: Limits that changed since the last report to the other hosts;
            None if a limit has ended.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.limited: dict[BackendServerId, LimitedServer] = {}
        self.changes: dict[BackendServerId, float | None] = {}

    def record_answer(
        self,
        server: BackendServerId,
        limit: float | None,
        succeeded: bool,
        now: Instant,
    ) -> None:
        """Records what an answer says of its server's limit.

        Args:
            server: The server.
            limit: The limit named in the answer, or None.
            succeeded: Whether the answer is a success. The limit ends only with
                a success that names none, since failures may lack the header.
            now: Present time.
        """
        if limit is None:
            if succeeded and self.end(server):
                self.changes[server] = None
            return
        if self.apply(server, limit, now):
            self.changes[server] = limit
        limited = self.limited.get(server)
        if limited is not None:
            limited.named_at = now

    def record_report(
        self, limits: dict[BackendServerId, float | None], now: Instant
    ) -> dict[BackendServerId, float | None]:
        """Records limits that another host reports; returns the new ones."""
        return {
            server: limit
            for server, limit in limits.items()
            if self.apply_report(server, limit, now)
        }

    def apply_report(
        self, server: BackendServerId, limit: float | None, now: Instant
    ) -> bool:
        """Applies a reported limit; returns whether it is new."""
        if limit is not None:
            return self.apply(server, limit, now)
        return not self.was_named_recently(server, now) and self.end(server)

    def was_named_recently(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether a report of the limit's end may be outdated."""
        limited = self.limited.get(server)
        return (
            limited is not None
            and limited.named_at is not None
            and now - limited.named_at < REPORT_DELAY_S
        )

    def apply(
        self, server: BackendServerId, limit: float, now: Instant
    ) -> bool:
        """Sets the limit of a server; returns whether it changed."""
        if server not in self.kernel.service('discovery').servers:
            return False
        limited = self.limited.get(server)
        if limited is not None and limited.limit == limit:
            return False
        if limited is None:
            limited = LimitedServer(limit, Bucket(0, 0, now))
            self.limited[server] = limited
        limited.bucket.refill(now)
        limited.limit = limit
        rate = max(MIN_LIMIT, limit) / self.places(limit)
        limited.bucket.rate = rate
        limited.bucket.capacity = max(1, rate * BURST_S)
        self.kernel.decide('server-limit', server=server, limit=limit)
        return True

    def end(self, server: BackendServerId) -> bool:
        """Ends the limit of a server; returns whether there was one."""
        if self.limited.pop(server, None) is None:
            return False
        self.kernel.decide('server-limit', server=server, limit=None)
        return True

    def forget(self, server: BackendServerId) -> None:
        """Forgets a server that was removed or restarted."""
        self.limited.pop(server, None)
        self.changes.pop(server, None)

    def take_changes(self) -> dict[BackendServerId, float | None]:
        """Returns the changes to report and clears them."""
        changes = self.changes
        self.changes = {}
        return changes

    def current(self) -> dict[BackendServerId, float | None]:
        """Returns all limits, for a host that has come into use."""
        return {
            server: limited.limit for server, limited in self.limited.items()
        }

    def places(self, limit: float) -> int:
        """Returns the number of hosts in use that share a limit.

        Each of them may have saved up one request, so they are fewer if the
        bound has no room for that.
        """
        spare = (BOUND_FACTOR - 1) * limit * BOUND_WINDOW_S + BOUND_REQUESTS
        places = self.kernel.service('hubs').max_hosts_in_use
        return max(1, int(min(places, spare - ARRIVAL_RESERVE)))

    def allows(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether this host may send a request to a server."""
        limited = self.limited.get(server)
        if limited is None:
            return True
        limited.bucket.refill(now)
        return limited.bucket.level >= 1 and self.has_place(server, now)

    def has_place(self, server: BackendServerId, now: Instant) -> bool:
        """Returns whether this host has a share of a server's limit."""
        hubs = self.kernel.service('hubs')
        if not hubs.is_in_use(now):
            return False
        places = self.places(self.limited[server].limit)
        if places >= hubs.max_hosts_in_use:
            return True
        own = rendezvous_score(server, self.kernel.settings.host)
        better = sum(
            rendezvous_score(server, record.host) > own
            for record in hubs.other_hosts_in_use(now)
        )
        return better < places

    def started(self, server: BackendServerId) -> None:
        """Records that a request is sent to a server."""
        limited = self.limited.get(server)
        if limited is not None:
            limited.bucket.level -= 1

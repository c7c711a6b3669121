"""The floor: the number of servers that ejection must leave in use."""

from collections.abc import Iterable

from teaselcove.ids import BackendServerId


def limit_ejections(
    unhealthy: Iterable[BackendServerId],
    in_full_use: int,
    floor: int,
) -> list[BackendServerId]:
    """Returns the servers that may stay ejected, strongest evidence first.

    Args:
        unhealthy: Servers to keep ejected, strongest evidence first.
        in_full_use: Number of other servers that are warm and not leaving.
        floor: Number of servers that must stay in use.

    Servers are returned to use in reverse order of the evidence until the
    floor is met, because a suspect server may still serve some calls.
    """
    ranked = list(unhealthy)
    missing = max(floor - in_full_use, 0)
    return ranked[: max(len(ranked) - missing, 0)]

"""The floor: how many servers ejection must leave in use."""

from collections.abc import Iterable

from teaselcove.ids import BackendServerId


def limit_ejections(
    wanted: Iterable[BackendServerId],
    in_full_use: int,
    floor: int,
) -> list[BackendServerId]:
    """Returns the servers that may stay out, strongest evidence first.

    Args:
        wanted: Servers to keep out, strongest evidence first.
        in_full_use: Servers that are not wanted out, warm and not leaving.
        floor: Servers that must stay in use.

    Servers come back in the reverse order of the evidence until the floor is
    met, because a suspect server may still serve some calls.
    """
    ranked = list(wanted)
    missing = max(floor - in_full_use, 0)
    return ranked[: max(len(ranked) - missing, 0)]

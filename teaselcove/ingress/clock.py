"""The clock of a host on the platform."""

import time

from teaselcove.ids import Instant


def boot_time() -> Instant:
    """Returns seconds since the machine's start.

    Unlike the monotonic clock it counts the time for which the machine was
    suspended, so beliefs that are too old show as such after it.
    """
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

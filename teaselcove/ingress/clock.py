"""The clock of a host on the platform."""

import time

from teaselcove.ids import Instant


def boot_time() -> Instant:
    """Returns the seconds since the machine was booted.

    Unlike the monotonic clock it includes the time for which the machine was
    suspended, so that stale state is recognised after a suspension.
    """
    return Instant(time.clock_gettime(time.CLOCK_BOOTTIME))

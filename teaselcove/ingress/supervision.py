"""Keeps the background tasks of a host running.

Load: input that makes a task fail, the same one at each start. A host that
ended itself for it would meet that input again, and cut off what it serves.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable

from teaselcove.decoding import describe
from teaselcove.ingress.kernel import ingress_services
from teaselcove.kernel import Kernel

log = logging.getLogger('teaselcove.host')

# Seconds before a task that failed is started again; doubled with each failure.
MIN_PAUSE_S = 0.1
# Short enough to follow the list of servers within its bound of two seconds.
MAX_PAUSE_S = 1.6
# Seconds without a failure after which the pause is short again.
RESET_S = 10

Work = Callable[[], Awaitable[object]]


def pause_after(previous: float, ran_for: float) -> float:
    """Returns the seconds to wait before a failed task is started again.

    Args:
        previous: Seconds waited before its last start; 0 for the first one.
        ran_for: Seconds that it ran since.
    """
    if not previous or ran_for > RESET_S:
        return MIN_PAUSE_S
    return min(MAX_PAUSE_S, 2 * previous)


@ingress_services.register('supervisor')
class Supervisor:
    """Runs background tasks and starts those again that fail.

    Attributes:
        failures: Number of failures since the start, by task.
        tasks: The tasks that run.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.failures: Counter[str] = Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, name: str, work: Work) -> None:
        """Runs work in the background until it returns.

        Args:
            name: Name of the task for logs and metrics.
            work: Starts the work; called again after each failure.
        """
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.keep_running(name, work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def keep_running(self, name: str, work: Work) -> None:
        """Runs work until it returns."""
        loop = asyncio.get_running_loop()
        pause = float(0)
        while True:
            started_at = loop.time()
            try:
                await work()
            except Exception as error:
                pause = pause_after(pause, loop.time() - started_at)
                self.record_failure(name, error, pause)
            else:
                return
            await asyncio.sleep(pause)

    async def run_once(self, name: str, work: Work) -> None:
        """Runs work whose caller starts it again when it is needed."""
        try:
            await work()
        except Exception as error:
            self.record_failure(name, error, None)

    def record_failure(
        self, name: str, error: Exception, pause: float | None
    ) -> None:
        """Counts and logs a failure.

        Args:
            name: Name of the task.
            error: The failure.
            pause: Seconds until it is started again, or None if it is not.
        """
        self.failures[name] += 1
        log.error(
            'task-failed',
            exc_info=error,
            extra={
                'figures': {
                    'task': name,
                    'why': describe(error),
                    'failures': self.failures[name],
                    'again_in_s': pause,
                }
            },
        )

    def stop(self) -> None:
        """Cancels all tasks."""
        for task in tuple(self.tasks):
            task.cancel()

"""Settings of a proxy host, in addition to the platform's own."""

from pathlib import Path
from typing import Annotated

import msgspec

from teaselcove import jsonc
from teaselcove.settings import Count, LogSettings, Port, Seconds, convert

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class IngressSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a proxy host.

    Attributes:
        hosts_in_use: Number of hosts given to callers of an availability
            zone.
        resolve_lifetime: Seconds for which callers may cache these hosts.
        server_read_interval: Seconds between reads of the backend servers
            from the store.
        max_waiting: Maximum number of requests that wait for a free slot of
            a backend server.
        memory_share: Share of memory for buffered request bodies.
        answer_memory_share: Share of memory for responses that are read or
            passed on.
        max_answer_bytes: Size limit of a response body.
        log_lines_per_second: Log lines of one kind; more are dropped and
            counted.
        metrics_port: Port that serves metrics in addition to the readiness
            address, or None; same as `metrics` in the deploy file.
    """

    hosts_in_use: Count = 2
    resolve_lifetime: Seconds = 2
    server_read_interval: Seconds = 0.9
    max_waiting: Count = 256
    memory_share: Share = 0.25
    answer_memory_share: Share = 0.15
    max_answer_bytes: Count = 16 * 1024 * 1024
    log_lines_per_second: Count = 100
    metrics_port: Port | None = None
    log: LogSettings = LogSettings()


def load_settings(path: Path) -> IngressSettings:
    """Loads the settings of a proxy host.

    Raises:
        FieldError: If the file is not valid.
    """
    return convert(jsonc.load(path), IngressSettings)

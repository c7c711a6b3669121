"""Settings of a host on the platform, beside those the platform gives."""

from pathlib import Path
from typing import Annotated

import msgspec

from teaselcove import jsonc
from teaselcove.settings import Count, LogSettings, Port, Seconds, convert

Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class IngressSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a host.

    Attributes:
        hosts_in_use: Hosts that callers of an availability zone are told.
        resolve_lifetime: Seconds for which callers may keep that answer.
        server_read_interval: Seconds between reads of the backend servers.
        max_waiting: Requests that may wait for a backend server's slot.
        memory_share: Share of the memory that bodies may take together.
        max_answer_bytes: Largest body of an answer.
        log_lines_per_second: Lines of one kind above which lines are left
            out and counted.
        metrics_port: Port that serves metrics besides the address for
            readiness, or None; `metrics` of the deploy file names it.
    """

    hosts_in_use: Count = 2
    resolve_lifetime: Seconds = 2
    server_read_interval: Seconds = 0.9
    max_waiting: Count = 256
    memory_share: Share = 0.25
    max_answer_bytes: Count = 16 * 1024 * 1024
    log_lines_per_second: Count = 100
    metrics_port: Port | None = None
    log: LogSettings = LogSettings()


def load_settings(path: Path) -> IngressSettings:
    """Reads the settings of a host.

    Raises:
        FieldError: If the file is not valid.
    """
    return convert(jsonc.load(path), IngressSettings)

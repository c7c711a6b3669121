"""Validation of addresses in records of the store."""

import ipaddress

MAX_PORT = 65535
MAX_PORT_DIGITS = 5


def is_address(text: str) -> bool:
    """Returns whether a string has the form IP:PORT."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    if len(port) > MAX_PORT_DIGITS or not (port.isascii() and port.isdigit()):
        return False
    return 0 < int(port) <= MAX_PORT

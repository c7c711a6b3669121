"""Addresses as records in the store give them."""

import ipaddress

MAX_PORT = 65535


def is_address(text: str) -> bool:
    """Returns whether a text is an IP address and a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT

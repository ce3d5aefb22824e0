"""Parse addresses of the form ``ip:port``."""

import ipaddress

__all__ = ["split_address"]


def split_address(address):
    """Return ``(ip, port)`` of an ``ip:port`` string.

    Raises
    ------
    ValueError
        If the string is not an IP address and a port from 1 to 65535.
    """
    ip, _, port = address.rpartition(":")
    ipaddress.ip_address(ip.strip("[]"))
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"port must be 1 to 65535, not {port!r}")
    return ip.strip("[]"), int(port)

"""Addresses as ``ip:port`` texts."""

import ipaddress

__all__ = ["split_address"]


def split_address(address):
    """Return ``(ip, port)`` of an ``ip:port`` text.

    Raises
    ------
    ValueError
        If the text is not an IP address and a port from 1 to 65535.
    """
    ip, _, port = address.rpartition(":")
    ipaddress.ip_address(ip.strip("[]"))
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"port must be 1 to 65535, not {port!r}")
    return ip.strip("[]"), int(port)

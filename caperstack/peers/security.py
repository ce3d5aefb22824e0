"""Mutual TLS between nodes, with keys that can be replaced without a restart."""

import os
import ssl
from contextlib import contextmanager

from caperstack.clock import deadline_after, now
from caperstack.exception import ConfigurationError

__all__ = ["PeerSecurity", "PlaintextSecurity"]

#: How long a loaded key is used before its source is read again, in seconds.
RELOAD_SECONDS = 10.0

_PEM_MARK = "-----BEGIN"


@contextmanager
def _pem_path(source):
    """Yield a path for `source`, which is a path or PEM text.

    Notes
    -----
    The TLS library reads keys from files only, and hosts have no disks: text
    is put into an anonymous file in memory for the moment of loading.
    """
    if _PEM_MARK not in source:
        yield source
        return
    descriptor = os.memfd_create("pem")
    try:
        os.write(descriptor, source.encode())
        yield f"/proc/self/fd/{descriptor}"
    finally:
        os.close(descriptor)


def _read_pem(source):
    if _PEM_MARK in source:
        return source
    with open(source, encoding="utf-8") as file:
        return file.read()


class PeerSecurity:
    """The TLS contexts of the peer port, or none where plain was asked for.

    Parameters
    ----------
    settings : caperstack.config.start.SecuritySettings
        Mode, certificate, key and authorities, each a path or PEM text.
    """

    def __init__(self, settings):
        self._settings = settings
        self._contexts = {}
        self._loaded_pems = {}
        self._reload_at = {}

    async def start(self, kernel):
        """Load the keys once, so that a wrong one shows at the start."""
        self._events = kernel.find("events")
        self.client_context()
        self.server_context()

    async def stop(self):
        """Nothing to stop."""

    def client_context(self):
        """Return the context for dialling, or ``None``."""
        return self._current_context(ssl.PROTOCOL_TLS_CLIENT)

    def server_context(self):
        """Return the context for accepting, or ``None``."""
        return self._current_context(ssl.PROTOCOL_TLS_SERVER)

    def _current_context(self, protocol):
        if self._settings.mode == "plain":
            return None
        if now() < self._reload_at.get(protocol, 0.0):
            return self._contexts[protocol]
        self._reload_at[protocol] = deadline_after(RELOAD_SECONDS)
        try:
            sources = self._read_sources()
            if sources != self._loaded_pems.get(protocol):
                self._contexts[protocol] = self._load(protocol)
                self._loaded_pems[protocol] = sources
        except (OSError, ssl.SSLError) as error:
            if protocol not in self._contexts:
                raise ConfigurationError(
                    str(error), step="start settings", peer="security"
                ) from None
            # A half-written key must not take the node out of the fleet.
            self._events.state("peer keys", "in force", f"kept, new ones unreadable: {error}")
        return self._contexts[protocol]

    def _read_sources(self):
        """Return the text of certificate, key and authorities."""
        settings = self._settings
        return tuple(
            _read_pem(source)
            for source in (settings.certificate, settings.key, settings.authorities)
        )

    def _load(self, protocol):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Peers are named by address; the authority, not the name, admits them.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        with (
            _pem_path(self._settings.certificate) as certificate,
            _pem_path(self._settings.key) as key,
            _pem_path(self._settings.authorities) as authorities,
        ):
            context.load_cert_chain(certificate, key)
            context.load_verify_locations(authorities)
        return context


class PlaintextSecurity:
    """No TLS between nodes: the network that they share is trusted."""

    def server_context(self):
        """Return ``None``: connections are accepted as they are."""

    def client_context(self):
        """Return ``None``: connections are dialled as they are."""

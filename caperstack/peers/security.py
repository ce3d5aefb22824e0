"""Mutual TLS between nodes, with keys that can be replaced without a restart."""

import os
import ssl
from contextlib import contextmanager

from caperstack.clock import deadline_after, now
from caperstack.exception import ConfigurationError

__all__ = ["PeerSecurity", "PlaintextSecurity"]

#: How often the sources of certificate, key and authorities are read again.
RELOAD_SECONDS = 10.0

_PEM_MARK = "-----BEGIN"


@contextmanager
def _pem_path(source):
    """Yield a path for `source`, which is a path or PEM text.

    Notes
    -----
    The TLS library loads keys from files only, and the hosts have no disks, so PEM
    text is written to an anonymous in-memory file while it is loaded.
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
    """Provide the TLS contexts between nodes, or none in the mode ``plain``.

    Parameters
    ----------
    settings : caperstack.config.start.SecuritySettings
        The mode; certificate, key and authorities, each a path or PEM text.
    """

    def __init__(self, settings):
        self._settings = settings
        self._contexts = {}
        self._loaded_pems = {}
        self._reload_at = {}

    async def start(self, kernel):
        """Load the keys once, so that an invalid one is reported at startup."""
        self._events = kernel.find("events")
        self.client_context()
        self.server_context()

    async def stop(self):
        """Do nothing."""

    def client_context(self):
        """Return the TLS context for dialling, or ``None`` for plaintext."""
        return self._current_context(ssl.PROTOCOL_TLS_CLIENT)

    def server_context(self):
        """Return the TLS context for accepting, or ``None`` for plaintext."""
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
            # Keep the old keys: a half-written key file must not isolate the node.
            self._events.state("peer keys", "in force", f"kept, new ones unreadable: {error}")
        return self._contexts[protocol]

    def _read_sources(self):
        """Return the PEM texts of certificate, key and authorities."""
        settings = self._settings
        return tuple(
            _read_pem(source)
            for source in (settings.certificate, settings.key, settings.authorities)
        )

    def _load(self, protocol):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Peers are addressed by IP; they are admitted by their certificate authority,
        # not by a host name.
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
    """Use no TLS between nodes, on a trusted network."""

    def server_context(self):
        """Return ``None``: connections are accepted without TLS."""

    def client_context(self):
        """Return ``None``: connections are dialled without TLS."""

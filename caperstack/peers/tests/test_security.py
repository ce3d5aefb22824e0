"""Mutual TLS between nodes: peer authentication and replacement of keys at run time."""

import asyncio
import ssl
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

import trustme

from caperstack.config.start import SecuritySettings
from caperstack.exception import ConfigurationError
from caperstack.peers import security as module
from caperstack.peers.security import PeerSecurity


def settings_of(authority, certificate=None, as_text=True, directory=None):
    """Return TLS settings with a certificate of `authority`."""
    certificate = certificate or authority.issue_cert("127.0.0.1")
    parts = {
        "certificate": certificate.cert_chain_pems[0].bytes().decode(),
        "key": certificate.private_key_pem.bytes().decode(),
        "authorities": authority.cert_pem.bytes().decode(),
    }
    if not as_text:
        for name, text in parts.items():
            path = Path(directory) / name
            path.write_text(text)
            parts[name] = str(path)
    return SecuritySettings(mode="tls", **parts)


async def started(settings):
    security = PeerSecurity(settings)
    await security.start(SimpleNamespace(find=lambda name: mock.Mock()))
    return security


class TestPeerSecurity(unittest.IsolatedAsyncioTestCase):
    """`PeerSecurity`."""

    async def exchange(self, server, client):
        """Return what `client` receives from a server with the keys of `server`."""

        async def greet(reader, writer):
            writer.write(b"hello")
            writer.close()

        listener = await asyncio.start_server(
            greet, "127.0.0.1", 0, ssl=server.server_context(), ssl_handshake_timeout=1.0
        )
        port = listener.sockets[0].getsockname()[1]
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, ssl=client if client is None else client.client_context()
            )
            writer.write(b"x")
            return await reader.read()
        except (ssl.SSLError, ConnectionError):
            return b""
        finally:
            listener.close()

    async def test_peer_of_the_same_authority_is_accepted(self):
        authority = trustme.CA()
        one, other = [await started(settings_of(authority)) for _ in range(2)]
        self.assertEqual(await self.exchange(one, other), b"hello")

    async def test_peer_of_another_authority_or_without_tls_is_rejected(self):
        server = await started(settings_of(trustme.CA()))
        outsider = await started(settings_of(trustme.CA()))
        self.assertEqual(await self.exchange(server, outsider), b"")
        self.assertNotIn(b"hello", await self.exchange(server, None))

    async def test_new_keys_are_loaded_without_a_restart(self):
        old, new = trustme.CA(), trustme.CA()
        with tempfile.TemporaryDirectory() as directory:
            server = await started(settings_of(old, as_text=False, directory=directory))
            client = await started(settings_of(new))
            self.assertEqual(await self.exchange(server, client), b"")
            settings_of(new, as_text=False, directory=directory)
            with mock.patch.object(module, "now", lambda: 1e12):
                self.assertEqual(await self.exchange(server, client), b"hello")

    async def test_unreadable_new_key_keeps_the_old_keys(self):
        authority = trustme.CA()
        with tempfile.TemporaryDirectory() as directory:
            server = await started(settings_of(authority, as_text=False, directory=directory))
            (Path(directory) / "key").write_text("half a key")
            with mock.patch.object(module, "now", lambda: 1e12):
                self.assertIsNotNone(server.server_context())

    async def test_unreadable_key_at_startup_raises_configuration_error(self):
        with self.assertRaises(ConfigurationError) as caught:
            await started(SecuritySettings(mode="tls", certificate="/nowhere", key="/nowhere"))
        self.assertEqual(caught.exception.peer, "security")

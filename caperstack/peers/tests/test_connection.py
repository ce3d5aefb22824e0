"""Tests of `PeerConnection` on real sockets."""

import asyncio
import unittest
from unittest import mock

from caperstack.backend.tests.servers import reset
from caperstack.exception import PeerError
from caperstack.peers.connection import PeerConnection
from caperstack.peers.messages import CallBody

#: More than the kernel buffers of a connection and the writer's own hold, in bytes.
LARGE_BYTES = 32 * 1024 * 1024


class TestSendInChunks(unittest.IsolatedAsyncioTestCase):
    """`PeerConnection.send_in_chunks` to a peer that reads nothing."""

    async def asyncSetUp(self):
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
        self.connection = PeerConnection(reader, writer, "peer", mock.Mock())
        self.addCleanup(self.connection.abort)

    async def accept(self, _reader, writer):
        self.peer = writer

    async def lost(self, drop):
        """Return the error of a body whose connection `drop` ends while it is sent."""
        sending = asyncio.create_task(
            self.connection.send_in_chunks(CallBody(1, LARGE_BYTES), bytes(LARGE_BYTES))
        )
        while not self.connection._writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.001)
        drop()
        with self.assertRaises(PeerError) as caught:
            await sending
        return caught.exception

    async def test_body_cut_by_this_node_is_a_lost_call_that_was_sent(self):
        """Guards against "not run" or "internal error" for a body whose link the node drops."""
        self.assertTrue((await self.lost(self.connection.abort)).sent)

    async def test_body_cut_by_the_peer_is_a_lost_call_that_was_sent(self):
        """Guards against "internal error" for a body whose owner's node is killed."""
        self.assertTrue((await self.lost(lambda: reset(self.peer))).sent)


if __name__ == "__main__":
    unittest.main()

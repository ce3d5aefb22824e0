"""Decoding of frames from arbitrarily split and from malformed streams."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from caperstack.exception import FrameError
from caperstack.peers.frames import MAX_FRAME_BYTES, FrameDecoder, encode_frame
from caperstack.peers.messages import Chunk, Revoke


class TestFrameDecoder(unittest.TestCase):
    """`FrameDecoder.feed`."""

    @given(
        st.lists(st.tuples(st.integers(0, 2**62), st.binary(max_size=300)), max_size=8),
        st.integers(1, 50),
    )
    def test_split_of_the_stream_does_not_change_the_messages(self, parts, step):
        stream = b"".join(encode_frame(Chunk(number), body) for number, body in parts)
        decoder = FrameDecoder()
        decoded = []
        for start in range(0, len(stream), step):
            decoded += decoder.feed(stream[start : start + step])
        self.assertEqual(decoded, [(Chunk(number), body) for number, body in parts])
        self.assertFalse(decoder.partial)

    @given(st.binary(min_size=8, max_size=200))
    def test_malformed_data_raises_or_stays_incomplete(self, data):
        decoder = FrameDecoder()
        try:
            list(decoder.feed(data))
        except FrameError:
            return
        self.assertTrue(decoder.partial)

    def test_oversized_frame_is_rejected(self):
        with self.assertRaises(FrameError):
            list(FrameDecoder().feed(encode_frame(Chunk(1), bytes(MAX_FRAME_BYTES))))

    def test_messages_before_a_malformed_frame_are_delivered(self):
        decoded = []
        with self.assertRaises(FrameError):
            for message in FrameDecoder().feed(encode_frame(Revoke(1, True)) + b"\xff" * 20):
                decoded.append(message)
        self.assertEqual(decoded, [(Revoke(1, True), b"")])

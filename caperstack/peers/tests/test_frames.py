"""Frames: any cut of the stream gives the same messages, rubbish gives an error."""

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
    def test_any_cut_gives_the_same_messages(self, parts, step):
        stream = b"".join(encode_frame(Chunk(number), body) for number, body in parts)
        decoder = FrameDecoder()
        decoded = []
        for start in range(0, len(stream), step):
            decoded += decoder.feed(stream[start : start + step])
        self.assertEqual(decoded, [(Chunk(number), body) for number, body in parts])
        self.assertFalse(decoder.partial)

    @given(st.binary(min_size=8, max_size=200))
    def test_rubbish_is_an_error_or_waits(self, rubbish):
        decoder = FrameDecoder()
        try:
            list(decoder.feed(rubbish))
        except FrameError:
            return
        self.assertTrue(decoder.partial)

    def test_frame_beyond_the_bound(self):
        with self.assertRaises(FrameError):
            list(FrameDecoder().feed(encode_frame(Chunk(1), bytes(MAX_FRAME_BYTES))))

    def test_good_messages_before_a_bad_one_are_delivered(self):
        decoded = []
        with self.assertRaises(FrameError):
            for message in FrameDecoder().feed(encode_frame(Revoke(1, True)) + b"\xff" * 20):
                decoded.append(message)
        self.assertEqual(decoded, [(Revoke(1, True), b"")])

"""Tests of the pacing of large bodies, in virtual time."""

import asyncio
import unittest

from caperstack.clock import now
from caperstack.play.virtual import run_virtual
from caperstack.transfers.link import LinkBudget
from caperstack.transfers.pacing import MAX_PIECE_BYTES, MIN_PIECE_BYTES, PIECE_SECONDS, BodyPacer


def send_all(budget, *bodies):
    """Send ``(size, rate)`` bodies at once; return the ``(second, size)`` pieces of each."""

    async def send(pacer, size, rate):
        body = bytes(number % 251 for number in range(size))
        began = now()
        pieces = [(now() - began, piece) async for piece in pacer.pieces(body, rate)]
        assert b"".join(piece for _, piece in pieces) == body
        return [(second, len(piece)) for second, piece in pieces]

    async def played():
        pacer = BodyPacer(budget)
        return await asyncio.gather(*(send(pacer, *body) for body in bodies))

    return run_virtual(played)


class TestBodyPacer(unittest.TestCase):
    """`BodyPacer.pieces`."""

    def test_body_goes_at_the_granted_rate_in_short_pieces(self):
        (pieces,) = send_all(LinkBudget(10e6), (60_000, 680_000.0))
        self.assertLessEqual(max(size for _, size in pieces), 680_000 * PIECE_SECONDS)
        self.assertAlmostEqual(pieces[-1][0], 60_000 / 680_000, delta=1.1 * PIECE_SECONDS)

    def test_body_goes_no_faster_than_the_senders_own_link(self):
        budget = LinkBudget(800_000.0)
        (pieces,) = send_all(budget, (60_000, 5e6))
        self.assertAlmostEqual(pieces[-1][0], budget.seconds(60_000), delta=1.1 * PIECE_SECONDS)

    def test_bodies_beyond_the_senders_link_come_one_after_the_other(self):
        """Guards against bodies that all come too late, since each gets a share of the link."""
        budget = LinkBudget(800_000.0)
        sent = send_all(budget, *[(60_000, 680_000.0)] * 4)
        for place, pieces in enumerate(sent, 1):
            expected = budget.seconds(place * 60_000)
            self.assertAlmostEqual(pieces[-1][0], expected, delta=2 * PIECE_SECONDS)

    def test_body_uses_what_earlier_ones_leave_of_the_link(self):
        budget = LinkBudget(800_000.0)
        first, second = send_all(budget, (30_000, 340_000.0), (30_000, 680_000.0))
        self.assertLess(first[-1][0], 30_000 / 340_000 + PIECE_SECONDS)
        self.assertLess(second[-1][0], budget.seconds(60_000))

    def test_slow_receiver_does_not_hold_up_bodies_to_others(self):
        """Guards against a link that is kept for the next piece of a body to a slow host."""
        _, pieces = send_all(LinkBudget(10e6), (60_000, 20_000.0), (60_000, 680_000.0))
        self.assertLess(pieces[-1][0], 1.2 * 60_000 / 680_000)

    def test_sender_whose_link_is_unknown_does_not_let_bodies_wait_for_each_other(self):
        """Guards against bodies to many hosts that share what the link of one receives."""
        sent = send_all(LinkBudget(), *[(60_000, 680_000.0)] * 7)
        self.assertLess(max(pieces[-1][0] for pieces in sent), 1.2 * 60_000 / 680_000)

    def test_pieces_have_a_least_and_a_greatest_size(self):
        (slow,) = send_all(LinkBudget(), (10_000, 1_000.0))
        (fast,) = send_all(LinkBudget(), (1_000_000, 1e9))
        self.assertEqual((slow[0][1], fast[0][1]), (MIN_PIECE_BYTES, MAX_PIECE_BYTES))

    def test_empty_body_has_no_pieces(self):
        self.assertEqual(send_all(LinkBudget(800_000.0), (0, 680_000.0)), [[]])


if __name__ == "__main__":
    unittest.main()

"""Tests of the bounds on received answers, without a network."""

import asyncio
import unittest

from caperstack.backend.intake import AnswerIntake


class FakeReceiver:
    """Record the reason for which the answer was aborted."""

    def __init__(self):
        self.aborted = ""

    def abort(self, reason):
        self.aborted = reason


class TestAnswerIntake(unittest.TestCase):
    """`AnswerIntake` of 1,000 bytes."""

    def setUp(self):
        self.intake = AnswerIntake(1000)
        self.endless, self.sound, self.other = (FakeReceiver() for _ in range(3))

    def test_largest_answer_gives_way(self):
        """Guards against sound answers that are cut since others have no end."""
        self.intake.add(self.endless, 500)
        self.intake.add(self.other, 300)
        self.intake.add(self.sound, 201)
        self.assertTrue(self.endless.aborted)
        self.assertFalse(self.sound.aborted or self.other.aborted)
        self.assertEqual(self.intake.held_bytes, 501)

    def test_as_many_give_way_as_needed(self):
        self.intake.add(self.other, 450)
        self.intake.add(self.endless, 500)
        self.intake.add(self.sound, 990)
        self.assertTrue(self.sound.aborted)
        self.assertEqual(self.intake.held_bytes, 950)
        self.intake.add(self.other, 500)
        self.assertEqual((bool(self.other.aborted), self.intake.held_bytes), (True, 500))

    def test_answer_larger_than_the_limit_is_aborted(self):
        self.intake.add(self.endless, 1001)
        self.assertTrue(self.endless.aborted)
        self.assertEqual(self.intake.held_bytes, 0)

    def test_complete_answers_no_longer_count(self):
        for _ in range(5):
            self.intake.add(self.sound, 900)
            self.intake.remove(self.sound)
        self.intake.remove(self.other)
        self.assertEqual((self.sound.aborted, self.intake.held_bytes), ("", 0))

    def test_one_large_answer_is_read_in_each_iteration_of_the_event_loop(self):
        """Guards against sound calls that wait while answers without end are read."""

        async def read(name):
            for _ in range(3):
                await self.intake.turn()
                read_parts.append(name)

        async def run():
            tasks = [asyncio.create_task(read(name)) for name in "abc"]
            while not all(task.done() for task in tasks):
                before = len(read_parts)
                await asyncio.sleep(0)
                self.assertLessEqual(len(read_parts) - before, 1)

        read_parts = []
        asyncio.run(run())
        self.assertEqual(read_parts, list("abc") * 3)


if __name__ == "__main__":
    unittest.main()

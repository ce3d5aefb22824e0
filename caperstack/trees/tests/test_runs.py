"""Tests of the calls that run at the local backend server."""

import asyncio
import unittest
from types import SimpleNamespace

from caperstack import clock
from caperstack.admission.tests.ownercase import start_owner
from caperstack.calls.model import Answered, Call, NotRun
from caperstack.clock import deadline_after
from caperstack.exception import BackendError
from caperstack.play.virtual import run_virtual
from caperstack.trees.runs import RunningCalls


class TestRunningCalls(unittest.TestCase):
    """`RunningCalls` with a clock controlled by the test."""

    def setUp(self):
        self.time = 1000.0
        self.enterContext(clock.use_source(lambda: self.time))
        self.runs = RunningCalls()

    def call(self, number, origin="n"):
        return SimpleNamespace(id=number, origin=origin)

    def test_calls_run_from_begin_to_end(self):
        first, second = self.call(1), self.call(2)
        self.runs.begin(first)
        self.runs.begin(second)
        self.assertEqual(list(self.runs), [first, second])
        self.runs.end(first)
        self.assertEqual(list(self.runs), [second])
        self.assertEqual(len(self.runs), 1)

    def test_calls_of_two_entries_may_have_the_same_number(self):
        self.runs.begin(self.call(1, "n"))
        self.runs.begin(self.call(1, "m"))
        self.runs.end(self.call(1, "n"))
        self.assertEqual([run.origin for run in self.runs], ["m"])

    def test_idle_time_passes_only_while_nothing_runs(self):
        self.time += 2.0
        self.runs.begin(self.call(1))
        self.time += 1.0
        self.runs.begin(self.call(2))
        self.time += 1.0
        self.runs.end(self.call(1))
        self.time += 1.0
        self.assertAlmostEqual(self.runs.idle_seconds, 2.0)
        self.runs.end(self.call(2))
        self.time += 0.5
        self.assertAlmostEqual(self.runs.idle_seconds, 2.5)
        self.time += 0.5
        self.runs.begin(self.call(3))
        self.assertAlmostEqual(self.runs.idle_seconds, 3.0)

    def test_end_without_begin_changes_nothing(self):
        self.time += 1.0
        self.runs.end(self.call(1))
        self.time += 1.0
        self.assertAlmostEqual(self.runs.idle_seconds, 2.0)


class _Client:
    """A backend server that ends each call as the test says, after half a second."""

    def __init__(self, end):
        self._end = end

    def listen(self, _on_report):
        """Do nothing."""

    async def listens(self, _deadline):
        """Return that the server accepts connections."""
        return True

    async def fetch(self, _call, _instance=""):
        """Return or raise the given end of the call."""
        await asyncio.sleep(0.5)
        if isinstance(self._end, Exception):
            raise self._end
        return self._end


class TestRunsOfTheOwner(unittest.TestCase):
    """`RunningCalls` of an owner whose runs end in different ways, in virtual time."""

    def numbers_running(self, end, abandons=False):
        """Run one call; return how many calls run in the midst of it and after its end."""

        async def run():
            owner = await start_owner(_Client(end))
            call = Call(1, "n", "r", "s", "GET", "/", [], b"", deadline_after(5.0), True)
            call.queue_until = call.deadline
            task = asyncio.create_task(owner.run(call))
            await asyncio.sleep(0.2)
            amid = len(owner.running_calls)
            if abandons:
                owner.abandon("n", 1)
            await asyncio.wait((task,))
            return amid, len(owner.running_calls)

        return run_virtual(run)

    def test_answered_call_no_longer_runs(self):
        self.assertEqual(self.numbers_running(Answered(200, "OK", [], b"")), (1, 0))

    def test_call_that_the_server_refused_no_longer_runs(self):
        self.assertEqual(self.numbers_running(NotRun("server sheds", offered=True)), (1, 0))

    def test_lost_call_no_longer_runs(self):
        """The backend server closes the connection of a running call."""
        error = BackendError("connection closed", step="backend")
        self.assertEqual(self.numbers_running(error), (1, 0))

    def test_call_that_fails_unexpectedly_no_longer_runs(self):
        """An exception that nothing expects ends the run of a call."""
        self.assertEqual(self.numbers_running(ValueError("unexpected")), (1, 0))

    def test_abandoned_call_no_longer_runs(self):
        """The caller of a running call disconnects."""
        end = Answered(200, "OK", [], b"")
        self.assertEqual(self.numbers_running(end, abandons=True), (1, 0))


if __name__ == "__main__":
    unittest.main()

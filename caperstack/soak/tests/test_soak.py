"""A short soak test with one seed, so that every test run covers mixed faults on real nodes."""

import asyncio
import unittest

from caperstack.soak.faults import STATEMENTS, UNFINISHED
from caperstack.soak.platform import run_soak

#: With this seed a request that crashes servers is repeated while nodes are killed,
#: stopped and suspended, and the nodes are never all killed at once.  If nodes do not
#: block requests suspected of crashes, the request still reaches servers and the test fails.
SEED = 4
SECONDS = 40.0

#: With this seed nodes are suspended, killed and stopped while servers state rate limits, and
#: later that they leave.
STATEMENTS_SEED = 39
STATEMENTS_SECONDS = 25.0

#: With this seed nodes are killed, stopped and suspended while servers fall silent in the middle
#: of answers or send without end.
UNFINISHED_SEED = 3
UNFINISHED_SECONDS = 20.0


class TestShortSoak(unittest.TestCase):
    """`run_soak` on six hosts."""

    def test_every_guarantee_holds(self):
        verdict = asyncio.run(run_soak(SECONDS, SEED))
        self.assertEqual(verdict.broken, {})
        self.assertGreater(verdict.faults["fatal request"], 0)

    def test_every_guarantee_holds_for_servers_that_state_limits_and_leave(self):
        verdict = asyncio.run(
            run_soak(STATEMENTS_SECONDS, STATEMENTS_SEED, server_faults=list(STATEMENTS))
        )
        self.assertEqual(verdict.broken, {})
        self.assertGreater(verdict.faults["server states a rate limit"], 0)
        self.assertGreater(verdict.faults["server states that it leaves"], 0)

    def test_every_guarantee_holds_for_servers_whose_answers_do_not_end(self):
        verdict = asyncio.run(
            run_soak(UNFINISHED_SECONDS, UNFINISHED_SEED, server_faults=list(UNFINISHED))
        )
        self.assertEqual(verdict.broken, {})
        for name in UNFINISHED:
            self.assertGreater(verdict.faults[name], 0)

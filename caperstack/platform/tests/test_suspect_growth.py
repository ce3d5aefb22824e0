"""Exchange of suspect requests in fleets of increasing size, in virtual time."""

import asyncio
import functools
import gc
import random
import unittest

from caperstack.calls.fingerprint import Fingerprint
from caperstack.platform.standin.simulation import Node, SimulatedFleet
from caperstack.play.virtual import run_virtual
from caperstack.quarantine.suspects import Verdict

SIZES = (30, 100, 300)

FATAL = Fingerprint(1, 1)
OTHER_REQUESTS = [Fingerprint(2 + number, 1) for number in range(7)]

#: Longest time from the third crash that a request caused until every node quarantines it.
PROPAGATION_SECONDS = 0.5

#: Mean number of messages that a node may send for one crash, whatever the fleet's size.
MAX_MESSAGES_PER_NODE = 16


def tearDownModule():
    """Free the simulated fleets, whose collection would pause later tests with real nodes."""
    gc.collect()


async def _measure_suspicions(size):
    """Report three crashes in a fleet of `size` hosts and return what the nodes sent and know.

    Returns
    -------
    figures : list of tuple of (float, float)
        Messages and bytes per node for each crash.
    verdicts : set of Verdict
        Verdicts of all nodes on the fatal request.
    cleared : set of Verdict
        Verdicts of all nodes on a request that completed afterwards.
    verdict : Verdict
        Verdict of a node that was started last on the fatal request.
    """
    random.seed(size)
    fleet = SimulatedFleet(size)
    task = asyncio.create_task(fleet.start())
    await asyncio.sleep(10.0)
    await task
    figures = []
    for number in range(3):
        node = fleet.nodes[number * size // 3]
        node.suspects.record_crash(100 + number, [FATAL, *OTHER_REQUESTS])
        traffic, _ = await fleet.measure(PROPAGATION_SECONDS)
        messages_by_kind, sent = (
            c["Suspicions"] / size for c in (traffic.messages_by_kind, traffic.bytes_by_kind)
        )
        figures.append((messages_by_kind, sent))
    verdicts = {node.suspects.verdict(FATAL) for node in fleet.nodes}
    fleet.nodes[1].suspects.record_completion(OTHER_REQUESTS[0])
    traffic, _ = await fleet.measure(PROPAGATION_SECONDS)
    cleared = {node.suspects.verdict(OTHER_REQUESTS[0]) for node in fleet.nodes}
    started = Node(fleet, *fleet.places[0])
    await fleet.nodes[0].stop()
    fleet._nodes[started.here.host] = started
    await started.start()
    # The node has read the store and gets a call, for which it waits until a peer has answered.
    while not started.settings.known:
        await asyncio.sleep(0.001)
    await started.sync.wait_for_agreement()
    verdict = started.suspects.verdict(FATAL)
    await fleet.stop()
    return figures, verdicts, cleared, verdict


@functools.cache
def suspicion_results(size):
    """Return the result of `_measure_suspicions` for a fleet of `size` hosts."""
    return run_virtual(lambda: _measure_suspicions(size))


class TestSuspectExchangeInAFleet(unittest.TestCase):
    """`SuspectExchange` over the connections of a simulated fleet."""

    def test_each_node_sends_a_bounded_number_of_messages(self):
        # A service with hundreds of servers loses one after the other. If each node told
        # all others of each crash, the messages per crash would grow with the square of
        # the fleet's size.
        for size in SIZES:
            figures, _, _, _ = suspicion_results(size)
            for messages_by_kind, _sent in figures:
                self.assertLessEqual(messages_by_kind, MAX_MESSAGES_PER_NODE, (size, figures))

    def test_all_nodes_agree_on_verdicts_in_time(self):
        for size in SIZES:
            _, verdicts, cleared, _ = suspicion_results(size)
            self.assertEqual(verdicts, {Verdict.QUARANTINED}, size)
            self.assertEqual(cleared, {Verdict.FREE}, size)

    def test_started_node_knows_quarantined_requests(self):
        # Guards against a started node that sends on a request which all others
        # quarantine. It learns of the quarantine before it agrees with a neighbour on the
        # settings, and serves no caller before it has agreed.
        for size in SIZES:
            self.assertEqual(suspicion_results(size)[3], Verdict.QUARANTINED, size)

"""How suspects are told in a fleet that grows, in virtual time."""

import asyncio
import functools
import random
import unittest

from caperstack.calls.fingerprint import Fingerprint
from caperstack.platform.standin.simulation import Node, SimulatedFleet
from caperstack.play.virtual import run_virtual
from caperstack.quarantine.suspects import Verdict

SIZES = (30, 100, 300)

FATAL = Fingerprint(1, 1)
BYSTANDERS = [Fingerprint(2 + number, 1) for number in range(7)]

#: Within so many seconds of its third end a request is kept away everywhere.
PROPAGATION_SECONDS = 0.5

#: Messages a node may send for one end, however large the fleet is.
MAX_MESSAGES_PER_NODE = 16


async def _measure_suspicions(size):
    """Return messages and bytes a node for each of three ends, and what all nodes hold then."""
    random.seed(size)
    fleet = SimulatedFleet(size)
    task = asyncio.create_task(fleet.start())
    await asyncio.sleep(10.0)
    await task
    figures = []
    for number in range(3):
        node = fleet.nodes[number * size // 3]
        node.suspects.note_end(100 + number, [FATAL, *BYSTANDERS])
        traffic, _ = await fleet.measure(PROPAGATION_SECONDS)
        messages_by_kind, sent = (
            c["Suspicions"] / size for c in (traffic.messages_by_kind, traffic.bytes_by_kind)
        )
        figures.append((messages_by_kind, sent))
    verdicts = {node.suspects.verdict(FATAL) for node in fleet.nodes}
    fleet.nodes[1].suspects.note_survival(BYSTANDERS[0])
    traffic, _ = await fleet.measure(PROPAGATION_SECONDS)
    cleared = {node.suspects.verdict(BYSTANDERS[0]) for node in fleet.nodes}
    started = Node(fleet, *fleet.places[0])
    await fleet.nodes[0].stop()
    fleet._nodes[started.here.host] = started
    await started.start()
    # It reads the store, is asked for something, and waits for a peer.
    while not started.settings.known:
        await asyncio.sleep(0.001)
    await started.sync.until_contact()
    verdict = started.suspects.verdict(FATAL)
    await fleet.stop()
    return figures, verdicts, cleared, verdict


@functools.cache
def suspicion_results(size):
    """Return what became of three ends in a fleet of that size."""
    return run_virtual(lambda: _measure_suspicions(size))


class TestSuspectExchangeInAFleet(unittest.TestCase):
    """`SuspectExchange` over the fleet's own connections."""

    def test_each_node_sends_a_bounded_number_of_messages(self):
        # A service of hundreds of servers loses one after the other; were each
        # end told by each node to all others, the square of the fleet would go
        # round for each.
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
        # Failure: a node starts, serves callers, and sends on a request that all
        # others keep away.  It hears of it before it agrees with a neighbour on
        # the settings, without which it serves nobody.
        for size in SIZES:
            self.assertEqual(suspicion_results(size)[3], Verdict.QUARANTINED, size)

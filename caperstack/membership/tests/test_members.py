"""Members: marks that stale news does not undo, and subsets of large services."""

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace

from caperstack.calls.model import Load, ServerState
from caperstack.exception import PlatformError
from caperstack.membership.hostlist import parse_host_list
from caperstack.membership.members import HostEntry, Members
from caperstack.membership.subset import SUBSET, subset_of


def make_members():
    here = SimpleNamespace(
        host="me",
        zone="a",
        region="r",
        peer_address="127.0.0.1:1",
        backend=SimpleNamespace(service="s"),
        peers=(),
    )
    events = SimpleNamespace(state=lambda *_, **__: None)
    members = Members(here)
    asyncio.run(members.start(SimpleNamespace(find=lambda name: events)))
    return members


def entry(host, **changes):
    values = {"zone": "a", "region": "r", "service": "s", "peer_address": "127.0.0.1:2"}
    return HostEntry(host, **(values | changes))


class TestMembers(unittest.TestCase):
    """`Members`."""

    def test_stale_list_does_not_undo_a_leaving_mark(self):
        # A node has said that it stops; the platform's list, a minute old,
        # still shows it live.  No new work may go there until it has started
        # again, which a newer incarnation shows.
        members = make_members()
        members.take_list([entry("x")])
        member = members.find("x")
        member.incarnation = 5
        self.assertTrue(members.mark_leaving("x", 5))
        members.take_list([entry("x")])
        self.assertTrue(member.leaving)
        self.assertFalse(members.mark_leaving("x", 4))
        member.incarnation = 6
        self.assertFalse(member.leaving)

    def test_new_start_of_a_backend_server_begins_with_a_clean_slate(self):
        # A backend server failed until it was ejected, drained, and starts
        # again under its name.  Own calls that are still out stay counted.
        members = make_members()
        members.take_list([entry("x", instance="i@1", leaving=True)])
        member = members.find("x")
        member.estimate.begin()
        for _ in range(20):
            member.estimate.take_result(True)
        member.estimate.take_load(Load(state=ServerState.DRAINING))
        members.take_list([entry("x", instance="i@1", leaving=True)])
        self.assertTrue(member.estimate.ejected)
        members.take_list([entry("x", instance="i@2")])
        self.assertFalse(member.leaving)
        self.assertFalse(member.estimate.ejected)
        self.assertEqual((member.estimate.failing, member.estimate.in_flight), (0.0, 1))

    def test_drain_of_a_backend_server_may_end(self):
        members = make_members()
        members.take_list([entry("x")])
        estimate = members.find("x").estimate
        estimate.take_load(Load(state=ServerState.DRAINING))
        self.assertTrue(members.find("x").leaving)
        estimate.take_load(Load(state=ServerState.WARM))
        self.assertFalse(members.find("x").leaving)

    def test_a_list_without_this_node_keeps_it(self):
        members = make_members()
        members.take_list([entry("x")])
        members.take_list([])
        self.assertEqual([m.host for m in members.all()], ["me"])

    def test_replaced_host_is_a_new_member(self):
        members = make_members()
        heard = []
        members.listen(lambda member, gone: heard.append((member.peer_address, gone)))
        members.take_list([entry("x")])
        members.take_list([entry("x", peer_address="127.0.0.1:3")])
        self.assertEqual(
            heard[1:], [("127.0.0.1:2", False), ("127.0.0.1:2", True), ("127.0.0.1:3", False)]
        )

    def test_bad_list_names_the_field(self):
        with self.assertRaises(PlatformError) as caught:
            parse_host_list(b'{"hosts": [{"host": "x", "zone": "a", "service": "s"}]}')
        self.assertEqual(caught.exception.peer, "hosts.0.peer_address")


class TestSubset(unittest.TestCase):
    """`subset_of`."""

    def test_small_services_are_taken_whole(self):
        members = [entry(f"m{i}") for i in range(SUBSET)]
        self.assertEqual(subset_of(members, entry("me")), members)

    def test_large_services_are_shared_out_evenly(self):
        members = [entry(f"m{i}", zone="abc"[i % 3]) for i in range(120)]
        shares = Counter()
        for number in range(300):
            chosen = subset_of(members, entry(f"e{number}", zone="abc"[number % 3]))
            self.assertEqual(len(chosen), SUBSET)
            self.assertEqual(len({m.zone for m in chosen}), 3)
            shares.update(m.host for m in chosen)
        self.assertEqual(len(shares), 120)
        self.assertLess(max(shares.values()), 2.0 * 300 * SUBSET / 120)

"""Tests of membership with a stale host list, and of subsets of large services."""

import asyncio
import unittest
from collections import Counter
from types import SimpleNamespace

from caperstack.calls.model import Load, ServerState
from caperstack.exception import PlatformError
from caperstack.membership.hostlist import parse_host_list
from caperstack.membership.members import HostEntry, Members
from caperstack.membership.subset import SUBSET_SIZE, subset_of


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

    def test_stale_host_list_does_not_undo_an_announcement_to_leave(self):
        # A node has announced that it is leaving while the platform's list, a
        # minute old, still shows it live.  It gets no new calls until a newer
        # incarnation shows that it restarted.
        members = make_members()
        members.apply_host_list([entry("x")])
        member = members.find("x")
        member.incarnation = 5
        self.assertTrue(members.mark_leaving("x", 5))
        members.apply_host_list([entry("x")])
        self.assertTrue(member.leaving)
        self.assertFalse(members.mark_leaving("x", 4))
        member.incarnation = 6
        self.assertFalse(member.leaving)

    def test_server_that_states_it_leaves_stays_leaving_until_another_run_is_listed(self):
        """Guards against a restarted node whose load makes its leaving server usable again."""
        members = make_members()
        members.apply_host_list([entry("x", instance="i@1")])
        member = members.find("x")
        members.mark_server_leaving("x", "i@1")
        member.estimate.update_load(Load())
        members.apply_host_list([entry("x", instance="i@1")])
        self.assertTrue(member.leaving)
        members.apply_host_list([entry("x", instance="i@2")])
        self.assertFalse(member.leaving)

    def test_statement_of_a_former_run_does_not_mark_the_present_one(self):
        """Guards against a report that was on its way when the server was replaced."""
        members = make_members()
        members.apply_host_list([entry("x", instance="i@2")])
        members.mark_server_leaving("x", "i@1")
        members.mark_server_leaving("gone", "i@1")
        self.assertFalse(members.find("x").leaving)

    def test_restart_of_a_backend_server_resets_its_estimate(self):
        # A backend server failed until it was ejected, drained, and restarted under
        # the same name.  Calls of this node that are in flight stay counted.
        members = make_members()
        members.apply_host_list([entry("x", instance="i@1", leaving=True)])
        member = members.find("x")
        member.estimate.begin()
        for _ in range(20):
            member.estimate.record_result(True)
        member.estimate.update_load(Load(state=ServerState.DRAINING))
        members.apply_host_list([entry("x", instance="i@1", leaving=True)])
        self.assertTrue(member.estimate.ejected)
        members.apply_host_list([entry("x", instance="i@2")])
        self.assertFalse(member.leaving)
        self.assertFalse(member.estimate.ejected)
        self.assertEqual((member.estimate.failing, member.estimate.in_flight), (0.0, 1))

    def test_drained_backend_server_can_return_to_service(self):
        members = make_members()
        members.apply_host_list([entry("x")])
        estimate = members.find("x").estimate
        estimate.update_load(Load(state=ServerState.DRAINING))
        self.assertTrue(members.find("x").leaving)
        estimate.update_load(Load(state=ServerState.WARM))
        self.assertFalse(members.find("x").leaving)

    def test_host_list_without_this_node_does_not_remove_it(self):
        members = make_members()
        members.apply_host_list([entry("x")])
        members.apply_host_list([])
        self.assertEqual([m.host for m in members.all()], ["me"])

    def test_replaced_host_is_a_new_member(self):
        members = make_members()
        changes = []
        members.listen(lambda member, gone: changes.append((member.peer_address, gone)))
        members.apply_host_list([entry("x")])
        members.apply_host_list([entry("x", peer_address="127.0.0.1:3")])
        self.assertEqual(
            changes[1:], [("127.0.0.1:2", False), ("127.0.0.1:2", True), ("127.0.0.1:3", False)]
        )

    def test_bad_list_names_the_field(self):
        with self.assertRaises(PlatformError) as caught:
            parse_host_list(b'{"hosts": 5}')
        self.assertEqual(caught.exception.peer, "hosts")

    def test_bad_entry_names_the_field(self):
        listed = parse_host_list(b'{"hosts": [{"host": "x", "zone": "a", "service": "s"}]}')
        self.assertEqual(listed.entries, [])
        self.assertEqual([error.peer for error in listed.errors], ["hosts.0.peer_address"])


class TestSubset(unittest.TestCase):
    """`subset_of`."""

    def test_subset_of_a_small_service_is_the_whole_service(self):
        members = [entry(f"m{i}") for i in range(SUBSET_SIZE)]
        self.assertEqual(subset_of(members, entry("me")), members)

    def test_members_of_a_large_service_are_in_similarly_many_subsets(self):
        members = [entry(f"m{i}", zone="abc"[i % 3]) for i in range(120)]
        shares = Counter()
        for number in range(300):
            chosen = subset_of(members, entry(f"e{number}", zone="abc"[number % 3]))
            self.assertEqual(len(chosen), SUBSET_SIZE)
            self.assertEqual(len({m.zone for m in chosen}), 3)
            shares.update(m.host for m in chosen)
        self.assertEqual(len(shares), 120)
        self.assertLess(max(shares.values()), 2.0 * 300 * SUBSET_SIZE / 120)

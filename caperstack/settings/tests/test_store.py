"""Tests of the settings store, the compilation of subtrees and the choice of peers."""

import asyncio
import unittest
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from caperstack.settings.compile import TreeCodec, compile_tree
from caperstack.settings.neighbours import READERS_PER_ZONE, is_reader, parents_of, ranked
from caperstack.settings.store import SettingsStore


class IgnoredCalls:
    """Stand-in for events and metrics that ignores all calls."""

    def state(self, *_, **__):
        pass

    def count(self, *_, **__):
        pass


def make_store():
    store = SettingsStore(TreeCodec())
    asyncio.run(store.start(SimpleNamespace(find=lambda name: IgnoredCalls())))
    return store


def routes(path, service):
    return {"routes": [{"path": path, "service": service}]}


ROOT = {"teams": {"team": {"routes": ["/a"], "services": ["s"]}}}


class TestSettingsStore(unittest.TestCase):
    """`SettingsStore.take`."""

    @given(st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=20))
    def test_the_highest_revision_wins_in_any_order(self, arrivals):
        store = make_store()
        documents = {}
        for revision, deleted in arrivals:
            document = documents.setdefault(revision, None if deleted else routes("/a", "s"))
            store.take("", revision, document, "peer")
        if documents:
            highest = max(documents)
            self.assertEqual(store.get("").revision, highest)
            self.assertEqual(store.get("").deleted, documents[highest] is None)

    def test_deleted_stays_deleted(self):
        store = make_store()
        store.take("", 1, routes("/a", "s"), "platform")
        store.take("", 2, None, "platform")
        store.take("", 1, routes("/a", "s"), "a peer that was asleep")
        self.assertIsNone(store.route("GET", "/a"))

    def test_bad_subtree_is_refused_whole_and_others_change(self):
        # A team publishes an invalid route beside a valid one.  Its last valid settings
        # stay in force, and a change of another subtree takes effect at once.
        store = make_store()
        store.take("", 1, ROOT | routes("/root", "r"), "platform")
        store.take("team", 2, routes("/a", "s"), "platform")
        bad = {"routes": [{"path": "/a/new", "service": "s"}, {"path": "/a", "service": 5}]}
        self.assertFalse(store.take("team", 3, bad, "platform"))
        store.take("", 4, ROOT | routes("/other", "r"), "platform")
        self.assertEqual(store.route("GET", "/a/new").path, "/a")
        self.assertIsNotNone(store.route("GET", "/other"))
        held = store.get("team")
        self.assertEqual((held.revision, held.refused_revision), (2, 3))
        self.assertIn("routes.1.service", held.refused_reason)


class TestCompile(unittest.TestCase):
    """`compile_tree`."""

    def parsed(self, **documents):
        store = make_store()
        for number, (path, document) in enumerate(documents.items()):
            store.take(path.replace("root", "").replace("_", "/"), number, document, "t")
        return {held.path: held.parsed for held in store.held()}

    def test_claim_outside_the_grant_is_left_out(self):
        for claim in (routes("/b", "s"), routes("/a", "other"), routes("/ab", "s")):
            table = compile_tree(self.parsed(root=ROOT, team=claim))
            self.assertIsNone(table.route("GET", claim["routes"][0]["path"]))
            self.assertIn("outside the subtree", table.problems["team"][0])

    def test_only_the_root_evacuates_zones(self):
        """A team must not evacuate a zone that other teams use."""
        root = {"evacuated_zones": ["a"], "teams": {"team": {"routes": ["/t"]}}}
        table = compile_tree(self.parsed(root=root, team={"evacuated_zones": ["b"]}))
        self.assertEqual(table.evacuated_zones, frozenset("a"))
        self.assertIn("only the root", table.problems["team"][0])

    def test_longest_prefix_and_method_win(self):
        document = {
            "routes": [
                {"path": "/", "service": "all"},
                {"path": "/a", "service": "a"},
                {"path": "/a/b", "service": "posts", "methods": ["post"]},
            ]
        }
        table = compile_tree(self.parsed(root=document))
        found = {
            (m, p): table.route(m, p).service
            for m, p in (("GET", "/a/b/c"), ("POST", "/a/b/c"), ("GET", "/ab"), ("GET", "/"))
        }
        self.assertEqual(list(found.values()), ["a", "posts", "all", "all"])

    def test_child_may_only_tighten_bounds(self):
        root = ROOT | {"bounds": {"retry_share": 0.2}, "defaults": {"retry_share": 0.1}}
        team = {"bounds": {"retry_share": 0.9}, "services": {"s": {"retry_share": 0.5}}}
        table = compile_tree(self.parsed(root=root, team=team))
        self.assertEqual(table.services["s"].retry_share, 0.2)

    def test_defaults_are_inherited(self):
        root = ROOT | {"defaults": {"policy": "random", "hedge_share": 0.0}}
        table = compile_tree(self.parsed(root=root, team={"services": {"s": {}}}))
        self.assertEqual(
            (table.services["s"].policy, table.services["s"].hedge_share), ("random", 0)
        )


class TestNeighbours(unittest.TestCase):
    """`is_reader` and `parents_of`."""

    @given(st.sets(st.text("abcdef0123456789", min_size=1, max_size=6), min_size=1, max_size=60))
    def test_parents_of_every_node_include_a_reader(self, hosts):
        order = ranked(hosts)
        readers = {host for host in hosts if is_reader(host, hosts)}
        self.assertEqual(len(readers), min(READERS_PER_ZONE, len(hosts)))
        for host in hosts - readers:
            parents = parents_of(host, hosts, [])
            self.assertTrue(all(order.index(p) < order.index(host) for p in parents))
            self.assertTrue(readers & set(parents))

"""Tests that no key is granted twice within its window, also across restarts of keepers."""

import contextlib
import random
import unittest
import uuid
from types import SimpleNamespace
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from caperstack.idempotency import keeper as module
from caperstack.idempotency.keeper import (
    Keeper,
    Verdict,
    creation_microseconds,
    keepers_of,
    majority,
)
from caperstack.load.plan import new_key
from caperstack.peers.messages import Claim, Settle

WINDOW = 10.0
MARGIN = 3.0


class FakeMembers:
    """The membership as one node sees it."""

    def __init__(self):
        self.hosts = []
        self._listeners = []

    def listen(self, listener):
        self._listeners.append(listener)

    def of_service(self, service):
        return [SimpleNamespace(host=host) for host in self.hosts]

    def change(self, hosts):
        self.hosts = list(hosts)
        for listener in self._listeners:
            listener(SimpleNamespace(service="s"), False)


class FakeMetrics:
    """Discards all counts."""

    def count(self, *_, **__):
        pass


class Cluster:
    """Keepers that share a simulated clock and claims made at them."""

    def __init__(self, names):
        self.current_time = 1000.0
        self.members = {}
        self.keepers = {}
        self.names = list(names)
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start or restart a keeper, which loses all its records."""
        members = self.members[name] = FakeMembers()
        self.keepers[name] = Keeper(SimpleNamespace(host=name))
        services = {"members": members, "metrics": FakeMetrics()}
        coroutine = self.keepers[name].start(SimpleNamespace(find=services.__getitem__))
        with contextlib.suppress(StopIteration):
            coroutine.send(None)
        members.change(self.names)

    def replace(self, old, new):
        """Replace a host by another one; all keepers see the change at once."""
        self.names = [name for name in self.names if name != old] + [new]
        del self.keepers[old], self.members[old]
        for name in self.keepers:
            self.members[name].change(self.names)
        self.start(new)

    def claim(self, key, holder, unreachable=(), born_us=0):
        """Return whether a vouching majority grants the key to `holder`."""
        hosts = keepers_of(key, self.names)
        message = Claim(0, "s", key, hosts, holder, 7, born_us, int(WINDOW * 1e6))
        replies = [self.keepers[h].claim(message) for h in hosts if h not in unreachable]
        grants = [v for v, vouches in replies if v == Verdict.GRANTED and vouches]
        return len(grants) >= majority(len(hosts))


def step():
    """Return a strategy for one step of a history: a claim, a fault or a wait."""
    return st.one_of(
        st.tuples(st.just("claim"), st.sets(st.integers(0, 4), max_size=2)),
        st.tuples(st.just("restart"), st.integers(0, 4)),
        st.tuples(st.just("replace"), st.integers(0, 4)),
        st.tuples(st.just("wait"), st.floats(0.1, WINDOW * 0.9)),
    )


class TestVouchingMajority(unittest.TestCase):
    """A key is granted at most once within its window."""

    def setUp(self):
        self.cluster = SimpleNamespace(current_time=1000.0)
        patch = mock.patch.multiple(
            module,
            now=lambda: self.cluster.current_time,
            deadline_after=lambda seconds: self.cluster.current_time + seconds,
        )
        patch.start()
        self.addCleanup(patch.stop)

    def build(self, count):
        self.cluster.current_time = 1000.0
        self.cluster = Cluster([f"h{i}" for i in range(count)])
        self.cluster.current_time += WINDOW + MARGIN

    @settings(max_examples=300, deadline=None)
    @given(st.integers(1, 5), st.lists(step(), min_size=2, max_size=14))
    def test_no_history_grants_twice_within_the_window(self, count, steps):
        # A caller repeats a request under its key through any node, while keepers
        # restart without their records, are replaced, or cannot be reached.  The
        # request must not run again within the window from the first attempt.
        self.build(count)
        granted_at = None
        for number, (kind, what) in enumerate(steps):
            if kind == "claim":
                unreachable = {f"h{i}" for i in what}
                if self.cluster.claim("key", number, unreachable):
                    recent = granted_at is not None and (
                        self.cluster.current_time - granted_at < WINDOW
                    )
                    self.assertFalse(recent)
                    granted_at = self.cluster.current_time
            elif kind == "wait":
                self.cluster.current_time += what
            else:
                name = sorted(self.cluster.names)[what % len(self.cluster.names)]
                if kind == "restart":
                    self.cluster.start(name)
                else:
                    self.cluster.replace(name, f"new{number}")

    def test_one_unreachable_keeper_of_three_does_not_block_claims(self):
        self.build(3)
        self.assertTrue(self.cluster.claim("key", 1, unreachable={"h1"}))
        self.assertFalse(self.cluster.claim("key", 2))

    def test_restarted_keepers_vouch_only_for_keys_created_later(self):
        # After a restart of all nodes no keeper can vouch for an opaque key, whose
        # request may have run before.  A UUID version 7 contains its creation time,
        # which shows that the key is new.
        self.build(3)
        for name in list(self.cluster.names):
            self.cluster.start(name)
        self.cluster.current_time += MARGIN
        self.assertFalse(self.cluster.claim("opaque", 1))
        with mock.patch.object(module, "wall_microseconds", lambda: 10**15):
            self.assertTrue(self.cluster.claim("young", 1, born_us=10**15))
            old = 10**15 - int((WINDOW + MARGIN) * 1e6)
            self.assertFalse(self.cluster.claim("old", 1, born_us=old))

    def test_key_of_a_call_that_did_not_run_is_released(self):
        self.build(3)
        self.assertTrue(self.cluster.claim("key", 1))
        for keeper in self.cluster.keepers.values():
            keeper.settle(Settle("s", "key", 2, False))
        self.assertFalse(self.cluster.claim("key", 3))
        for keeper in self.cluster.keepers.values():
            keeper.settle(Settle("s", "key", 1, False))
        self.assertTrue(self.cluster.claim("key", 3))

    def test_memory_is_bounded(self):
        self.build(1)
        with mock.patch.object(module, "MAX_RECORDS", 5):
            granted = [self.cluster.claim(f"key{i}", i) for i in range(8)]
        self.assertEqual(granted, [True] * 5 + [False] * 3)
        self.cluster.current_time += WINDOW + module.MAX_CALL_SECONDS + 1
        self.assertTrue(self.cluster.claim("later", 9))
        self.assertEqual(len(self.cluster.keepers["h0"]), 1)


class TestKeys(unittest.TestCase):
    """`creation_microseconds`."""

    def test_uuid_version_7_gives_its_creation_time(self):
        with mock.patch("time.time_ns", lambda: 1_700_000_000_123 * 10**6):
            key = new_key(random.Random(1))
        self.assertEqual(creation_microseconds(key), 1_700_000_000_123_000)

    def test_other_keys_are_opaque(self):
        for key in ("abc", str(uuid.UUID(int=5)), ""):
            self.assertEqual(creation_microseconds(key), 0)

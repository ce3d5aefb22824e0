"""Test failures between nodes, with real processes behind fault-injecting proxies."""

import asyncio
import random
import signal
import unittest

import trustme

from caperstack.addresses import split_address
from caperstack.bench.client import request
from caperstack.bench.scenario import ProxiedFleet, call, small_fleet
from caperstack.calls.headers import OUTCOME
from caperstack.load.ledger import merged_ledger
from caperstack.load.plan import new_key

SLOW = {"mean_ms": 300.0, "sigma": 0.05}


def remote_subtrees():
    """Return settings that send every other call to another node."""
    return {
        "": {
            "services": {"bookings": {"policy": "round_robin", "hedge_share": 0.0}},
            "routes": [
                {"path": "/bookings", "service": "bookings", "criticality": "high"},
                {"path": "/listings", "service": "bookings"},
            ],
        }
    }


async def runs_of(fleet, name):
    """Return how often a call ran on all backend servers together."""
    return merged_ledger(await fleet.ledgers())[name]


class FaultTestCase(unittest.IsolatedAsyncioTestCase):
    """Helpers for the tests of failures."""

    async def until(self, condition):
        await self.fleet.until(condition, what=self.id())

    async def in_flight(self, count):
        """Wait until the backend servers have started `count` calls."""

        async def condition():
            ledgers = await self.fleet.ledgers()
            return sum(ledger["runs"] for ledger in ledgers.values()) >= count

        await self.until(condition)

    def assert_outcome(self, response, outcome):
        self.assertEqual(response.headers[OUTCOME], outcome, response.body)


class TestLinks(FaultTestCase):
    """Connections between entry and owner that break, stall or duplicate messages."""

    async def asyncSetUp(self):
        self.proxied = await self.enterAsyncContext(
            ProxiedFleet(2, remote_subtrees(), backend=SLOW)
        )
        self.fleet = self.proxied.fleet
        # Open the links, and wait until the keepers have run long enough to vouch.
        for _ in range(2):
            await call(self.fleet, "n0", "GET", "/listings")
        self.started = sum(v["runs"] for v in (await self.fleet.ledgers()).values())

    async def bookings(self, count):
        """Start bookings through n0, half of them to n1, and return their tasks."""
        tasks = [asyncio.create_task(call(self.fleet, "n0")) for _ in range(count)]
        await self.in_flight(self.started + count)
        return tasks

    async def test_outcome_of_calls_on_a_lost_connection_comes_from_the_owner(self):
        # The connection breaks while bookings run at the owner.  The entry must not send
        # them elsewhere.  It gets the answers that the owner kept over a new connection.
        tasks = await self.bookings(6)
        self.proxied.proxies["n0", "n1"].cut()
        for name, response in await asyncio.gather(*tasks):
            self.assert_outcome(response, "answered")
            self.assertEqual(await runs_of(self.fleet, name), 1)

    async def test_restarted_owner_does_not_report_earlier_calls_as_not_run(self):
        # The owner is killed while bookings run on its backend server, and restarts
        # before they are done.  It does not know them any more; if it answered "not
        # run", they would run twice.
        tasks = await self.bookings(6)
        self.fleet.nodes["n1"].signal(signal.SIGKILL)
        await self.fleet.nodes["n1"].ended()
        self.fleet.start_node("n1")
        for name, response in await asyncio.gather(*tasks):
            self.assertIn(response.headers[OUTCOME], ("answered", "unknown"))
            self.assertEqual(await runs_of(self.fleet, name), 1)

    async def test_one_way_partition_ends_as_unknown_and_runs_once(self):
        # The call reaches the owner and runs, but its answer is held back.  The caller
        # gets "unknown" at the deadline, and the call has run once.
        self.proxied.proxies["n0", "n1"].answers.hold = True
        pairs = [await call(self.fleet, "n0", milliseconds=900) for _ in range(4)]
        outcomes = {response.headers[OUTCOME] for _, response in pairs}
        self.assertIn("unknown", outcomes)
        for name, response in pairs:
            self.assertIn(response.headers[OUTCOME], ("unknown", "answered"))
            self.assertLessEqual(await runs_of(self.fleet, name), 1)

    async def test_duplicated_answer_is_not_taken_for_another_call(self):
        # Every answer between the nodes arrives twice.  The second copy must not be
        # taken for the answer to another call.
        self.proxied.proxies["n0", "n1"].answers.duplicate = 1.0
        for name, response in [await call(self.fleet, "n0") for _ in range(6)]:
            self.assertEqual(response.code, 200)
            self.assertTrue(response.body.startswith(name.encode()))

    async def test_stopped_owner_does_not_run_expired_calls(self):
        # The process of the owner is stopped while a booking waits in its socket buffer,
        # and the caller gets "unknown" at the deadline.  When the process resumes, the
        # booking is late by the length of the stop and must not run.
        node = self.fleet.nodes["n1"]
        node.signal(signal.SIGSTOP)
        pairs = [await call(self.fleet, "n0", milliseconds=700) for _ in range(4)]
        node.signal(signal.SIGCONT)
        unknown = [name for name, r in pairs if r.headers[OUTCOME] == "unknown"]
        self.assertTrue(unknown)
        await self.fleet.operator("n1", "/health")
        _, response = await call(self.fleet, "n1", "GET", "/listings")
        self.assertIn(response.code, (200, 503))
        for name in unknown:
            self.assertEqual(await runs_of(self.fleet, name), 0)

    async def test_both_sides_are_used_again_after_a_partition(self):
        # No data passes between the nodes, but no connection breaks.  A listing that was
        # sent to the other node is retried locally once the link is silent; after the
        # partition both sides must be used again.
        self.proxied.proxies["n0", "n1"].partition()
        self.proxied.proxies["n1", "n0"].partition()
        for host in ("n0", "n1"):
            _, response = await call(self.fleet, host, "GET", "/listings", milliseconds=8000)
            self.assertEqual(response.code, 200)
        for proxy in self.proxied.proxies.values():
            proxy.partition(False)

        async def both_used():
            for host in ("n0", "n1"):
                members = (await self.fleet.operator(host, "/members"))["members"]
                if not all(m["usable"] for m in members):
                    return False
                await call(self.fleet, host, "GET", "/listings")
            return True

        await self.until(both_used)


class TestLeaving(FaultTestCase):
    """Drains and restarts of nodes and backend servers."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(small_fleet(2, remote_subtrees(), backend=SLOW))
        for _ in range(2):
            await call(self.fleet, "n0", "GET", "/listings")

    async def test_stopping_node_answers_its_calls_as_entry_and_as_owner(self):
        # A node is told to stop while it runs calls as owner for another entry, and
        # waits for calls as entry of its own callers.  All of them must get their answers
        # before it exits.
        tasks = [asyncio.create_task(call(self.fleet, h)) for h in ("n0", "n1") * 6]
        await self.in_flight(len(tasks))
        self.fleet.nodes["n1"].signal(signal.SIGTERM)
        for name, response in await asyncio.gather(*tasks):
            self.assert_outcome(response, "answered")
            self.assertEqual(await runs_of(self.fleet, name), 1)
        self.assertEqual(await self.fleet.nodes["n1"].ended(), 0)
        _, response = await call(self.fleet, "n0")
        self.assert_outcome(response, "answered")

    async def test_draining_backend_gets_no_new_work(self):
        # A backend server reports that it drains.  Two seconds later no node may send it
        # calls, and all calls must be answered by the other server.
        await self.fleet.control("n1", draining=True)

        async def noticed():
            members = (await self.fleet.operator("n0", "/members"))["members"]
            return next(m for m in members if m["host"] == "n1")["leaving"]

        await self.until(noticed)
        await asyncio.sleep(2.0)
        pairs = [await call(self.fleet, host) for host in ("n0", "n1") * 4]
        self.assertEqual({r.headers[OUTCOME] for _, r in pairs}, {"answered"})
        self.assertEqual((await self.fleet.ledgers())["n1"]["after_drain"], 0)
        await self.fleet.control("n1", draining=False)

        async def back():
            members = (await self.fleet.operator("n0", "/members"))["members"]
            return not next(m for m in members if m["host"] == "n1")["leaving"]

        await self.until(back)


class TestKeys(FaultTestCase):
    """Retries by the caller with the same idempotency key."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(small_fleet(3, remote_subtrees()))

        async def vouched():
            _, response = await call(self.fleet, "n0", key=new_key(self.random))
            return response.headers[OUTCOME] == "answered"

        await self.until(vouched)

    def setUp(self):
        self.random = random.Random(7)

    async def test_same_key_through_any_node_runs_once(self):
        key = new_key(self.random)
        pairs = [await call(self.fleet, host, key=key) for host in ("n0", "n1", "n2", "n0")]
        ran = [await runs_of(self.fleet, name) for name, _ in pairs]
        self.assertEqual(sum(ran), 1)
        self.assertEqual([r.code for _, r in pairs], [200, 409, 409, 409])

    async def test_call_with_a_lost_answer_is_not_run_again(self):
        # The backend server runs a booking and crashes before it answers.  The caller
        # gets "unknown" and retries with the same key through every node, while one
        # keeper restarts without its records.
        for host in self.fleet.settings:
            await self.fleet.control(host, die_after_run=True)
        key = new_key(self.random)
        name, response = await call(self.fleet, "n0", key=key)
        self.assert_outcome(response, "unknown")
        for host in self.fleet.settings:
            await self.fleet.control(host, die_after_run=False)
        self.fleet.nodes["n2"].signal(signal.SIGKILL)
        await self.fleet.nodes["n2"].ended()
        self.fleet.start_node("n2")
        await self.fleet.ready("n2")
        names = [name]
        for host in ("n0", "n1", "n2"):
            retried, response = await call(self.fleet, host, key=key)
            self.assert_outcome(response, "unknown")
            names.append(retried)
        self.assertEqual(sum([await runs_of(self.fleet, n) for n in names]), 1)

    async def test_key_reused_for_another_request_is_refused(self):
        key = new_key(self.random)
        await call(self.fleet, "n0", key=key, body=b"sweep 1")
        _, response = await call(self.fleet, "n1", key=key, body=b"sweep 2")
        self.assertEqual((response.code, response.headers[OUTCOME]), (422, "not-run"))


class TestMalformedInput(FaultTestCase):
    """Malformed or incomplete input at the ports of a node."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(small_fleet(1))

    async def test_malformed_bytes_at_the_peer_port_are_rejected(self):
        address = split_address(self.fleet.settings["n0"]["peer_address"])
        for malformed in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 5000, bytes(100)):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(malformed)
            # The node sends its own hello and closes the connection.
            received = await asyncio.wait_for(reader.read(), 30)
            self.assertLess(len(received), 300)
            writer.close()
        _, response = await call(self.fleet, "n0")
        self.assert_outcome(response, "answered")
        reply = await request(self.fleet.settings["n0"]["operator_address"], "GET", "/metrics")
        self.assertIn(b"caperstack_peer_errors_total", reply.body)

    async def test_incomplete_request_is_not_run(self):
        address = split_address(self.fleet.caller_address("n0"))
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"POST /bookings HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf")
        await writer.drain()
        writer.close()
        _, response = await call(self.fleet, "n0")
        self.assert_outcome(response, "answered")
        runs = sum(ledger["runs"] for ledger in (await self.fleet.ledgers()).values())
        self.assertEqual(runs, 1)


class TestPeerKeys(FaultTestCase):
    """A fleet whose nodes authenticate each other with TLS certificates."""

    async def asyncSetUp(self):
        authority = trustme.CA()
        certificate = authority.issue_cert("127.0.0.1")
        security = {
            "mode": "tls",
            "certificate": certificate.cert_chain_pems[0].bytes().decode(),
            "key": certificate.private_key_pem.bytes().decode(),
            "authorities": authority.cert_pem.bytes().decode(),
        }
        self.fleet = await self.enterAsyncContext(
            small_fleet(2, remote_subtrees(), security=security)
        )

    async def test_peers_are_served_and_an_unauthenticated_client_is_not(self):
        async def crossed():
            # n0 may have tried to connect before n1 listened, and retries later.
            _, response = await call(self.fleet, "n0")
            self.assert_outcome(response, "answered")
            return (await self.fleet.ledgers())["n1"]["runs"] > 0

        await self.until(crossed)
        address = split_address(self.fleet.settings["n0"]["peer_address"])
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"\x00" * 64)
        received = await asyncio.wait_for(reader.read(), 30)
        # At most a TLS alert, and no hello message.
        self.assertLess(len(received), 32)
        writer.close()

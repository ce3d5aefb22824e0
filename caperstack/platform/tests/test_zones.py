"""Evacuated zones and cold backend servers, with real nodes."""

import asyncio

from caperstack.clock import now
from caperstack.platform.tests.fleetcase import FleetCase


class TestEvacuation(FleetCase):
    """Zones that operators evacuate and take into service again."""

    def count_runs(self, host):
        return sum(host.instance.runs.values())

    def is_evacuated_everywhere(self, zone, state=True):
        """Return a condition: all nodes have last logged `state` as the evacuation of the zone."""

        async def condition():
            return all(self.last_reported(host, zone) == str(state) for host in self.fleet.hosts)

        return condition

    def last_reported(self, host, zone):
        lines = host.node.lines("state")
        states = [n["new"] for n in lines if (n["subject"], n["peer"]) == ("zone evacuated", zone)]
        return states[-1] if states else ""

    async def test_evacuated_zone_gets_no_calls_until_the_evacuation_ends(self):
        """Guards against servers of an evacuated zone that still get calls seconds later."""
        self.fleet.evacuate(self.first.zone)
        await self.fleet.until(
            self.is_evacuated_everywhere(self.first.zone), "known everywhere", 2.0
        )
        before = self.count_runs(self.first)
        for host in self.fleet.hosts:
            for method, path in (("GET", "/list/"), ("POST", "/book/")):
                _, reply = await self.fleet.ask(host, path, method)
                self.assertEqual(reply.code, 200)
        self.assertEqual(self.count_runs(self.first), before)
        self.fleet.end_evacuation(self.first.zone)
        await self.fleet.until(
            self.is_evacuated_everywhere(self.first.zone, False), "evacuation ended", 2.0
        )

        async def gets_calls():
            await self.fleet.ask(self.third, "/list/")
            return self.count_runs(self.first) > before

        await self.until(gets_calls, "the zone gets calls again")

    async def test_running_call_completes_and_a_service_without_zones_refuses_at_once(self):
        """Guards against waiting callers and cut calls when a service is evacuated as a whole."""
        self.third.instance.behaviour.seconds = 1.5
        call = asyncio.create_task(self.fleet.ask(self.first, "/rates/"))

        async def running():
            return self.third.instance.running == 1

        await self.until(running, "the call is running")
        self.fleet.evacuate(self.third.zone)
        await self.fleet.until(
            self.is_evacuated_everywhere(self.third.zone), "known everywhere", 2.0
        )
        began = now()
        name, reply = await self.fleet.ask(self.first, "/rates/")
        self.assertEqual((reply.code, self.fleet.runs(name)), (503, 0))
        self.assertGreater(float(reply.headers["Retry-After"]), 0.0)
        self.assertLess(now() - began, 1.0)
        _, completed = await call
        self.assertEqual(completed.code, 200)

    async def test_node_started_without_the_store_knows_of_the_evacuation(self):
        """Guards against calls to an evacuated zone by a node that starts without the store."""
        self.fleet.evacuate(self.first.zone)
        await self.until(self.is_evacuated_everywhere(self.first.zone), "known everywhere")
        self.third.node.kill()
        self.third.boot["platformSettings"] = {"address": self.fleet.store_addresses[1]}
        self.fleet.store.faults[self.fleet.store_addresses[1]].status = 503
        before = self.count_runs(self.first)
        self.fleet.start_node(self.third)
        await self.until(lambda: self.fleet.ready(self.third), "ready")
        for _ in range(20):
            _, reply = await self.fleet.ask(self.third, "/list/")
            self.assertEqual(reply.code, 200)
        self.assertEqual(self.count_runs(self.first), before)

    async def test_evacuation_of_an_empty_zone_changes_nothing(self):
        self.fleet.evacuate("nowhere")
        await self.until(self.is_evacuated_everywhere("nowhere"), "known everywhere")
        for host in self.fleet.hosts:
            _, reply = await self.fleet.ask(host, "/list/")
            self.assertEqual(reply.code, 200)


class TestColdServers(FleetCase):
    """Cold backend servers, which crash if they get more requests than they tolerate."""

    #: Requests per second that crash no cold server: 1.5 times the configured rate of six
    #: plus eight, as the bounds in the start settings allow.
    tolerated_per_second = 17

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.fleet.cold_per_second = 6
        self.fleet.configure()
        await asyncio.sleep(1.5)

    def make_cold(self, host, seconds):
        behaviour = host.instance.behaviour
        behaviour.seconds = 0.03
        behaviour.cold_since = now()
        behaviour.cold_until = now() + seconds
        behaviour.cold_bears = self.tolerated_per_second

    async def test_calls_move_from_a_server_that_turns_cold_to_the_warm_one(self):
        """Guards against a server that turns cold under load, keeps its share and crashes."""
        self.second.instance.behaviour.seconds = 0.03
        await self.send_stream("/list/", 60, 1.0)
        self.make_cold(self.first, 3.0)
        replies = await self.send_stream("/list/", 60, 2.5)
        self.assertEqual({reply.code for reply in replies}, {200})
        self.assertEqual(self.fleet.crashes, [])

    async def test_service_with_only_cold_servers_refuses_excess_calls_at_once(self):
        """Guards against crashes or fruitless waiting when all servers of a service are cold."""
        self.make_cold(self.third, 4.0)
        replies = await self.send_stream("/rates/", 40, 3.0)
        refused = [reply for reply in replies if reply.code == 503]
        self.assertEqual(self.fleet.crashes, [])
        self.assertEqual({reply.code for reply in replies}, {200, 503})
        self.assertTrue(all(float(reply.headers["Retry-After"]) > 0 for reply in refused))
        self.assertLess(sorted(r.request_time for r in refused)[len(refused) // 2], 0.2)

    async def test_restarted_node_limits_calls_to_the_cold_server(self):
        """Guards against a restarted node that overloads a cold server.

        The server got as many requests as it tolerates just before the node was killed.
        """
        self.make_cold(self.third, 8.0)
        await self.send_stream("/rates/", 40, 1.0)
        self.third.node.kill()
        self.fleet.start_node(self.third)
        await self.until(lambda: self.fleet.ready(self.third), "ready")
        await self.send_stream("/rates/", 40, 2.0)
        self.assertEqual(self.fleet.crashes, [])

    async def test_malformed_cold_header_is_logged_once_and_ignored(self):
        for host in self.fleet.hosts:
            host.instance.behaviour.cold_text = "soon"

        async def logged():
            return all(host.node.lines("foreign header") for host in self.fleet.hosts)

        await self.until(logged, "the header is logged")
        replies = await self.send_stream("/list/", 60, 1.0)
        self.assertEqual({reply.code for reply in replies}, {200})
        self.assertEqual([len(h.node.lines("foreign header")) for h in self.fleet.hosts], [1, 1, 1])

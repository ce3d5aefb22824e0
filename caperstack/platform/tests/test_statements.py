"""What backend servers state about themselves in their answers, with real nodes."""

import asyncio

from caperstack.clock import now
from caperstack.platform.names import DIALECT
from caperstack.platform.standin.arrival import max_in_window
from caperstack.platform.tests.fleetcase import FleetCase


class TestObservability(FleetCase):
    """Log lines and metrics on the statements of a backend server."""

    def rate_changes(self, host):
        lines = host.node.lines("state")
        return [line for line in lines if line["subject"] == "rate limit"]

    async def test_stated_changed_and_withdrawn_rate_is_logged(self):
        behaviour = self.first.instance.behaviour
        for number, rate in enumerate(("5.3", "0.5", ""), start=1):
            behaviour.rate_limit = rate

            async def logged(count=number):
                return len(self.rate_changes(self.first)) >= count

            await self.until(logged, f"rate {rate!r} logged")
        changes = self.rate_changes(self.first)
        self.assertEqual([line["new"] for line in changes], ["5.3", "0.5", "None"])
        self.assertEqual({line["instance"] for line in changes}, {self.first.instance.name})
        self.assertEqual({line["stated_by"] for line in changes}, {"health path"})
        self.assertEqual(self.rate_changes(self.second), [])

    async def test_values_that_are_no_rate_are_logged_once_and_calls_are_served(self):
        """Guards against a malformed statement that stops the calls to its server."""
        for host in self.fleet.hosts:
            host.instance.behaviour.rate_limit = "-1"
            host.instance.behaviour.leaving = "perhaps"

        async def logged():
            return all(len(host.node.lines("foreign header")) >= 2 for host in self.fleet.hosts)

        await self.until(logged, "both headers logged")
        for _ in range(20):
            for host in self.fleet.hosts:
                _, reply = await self.fleet.ask(host, "/list/")
                self.assertEqual(reply.code, 200)
        for host in self.fleet.hosts:
            headers = sorted(line["header"] for line in host.node.lines("foreign header"))
            self.assertEqual(headers, sorted([DIALECT.rate_limit, DIALECT.leaving]))


class TestRateLimit(FleetCase):
    """The rate that a backend server accepts from all hosts together."""

    #: Length of the windows in which requests are counted, in seconds.
    window_seconds = 4.0

    #: Time within which a stated rate must be in force on all hosts, and within which a
    #: server must get calls again once it has withdrawn its rate, in seconds.
    known_seconds = 0.5
    used_again_seconds = 2.0

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for host in self.fleet.hosts:
            host.instance.behaviour.seconds = 0.03

    def state_rate(self, host, rate):
        """Make the server state `rate`, or none if it is empty; return when it is in force."""
        host.instance.behaviour.rate_limit = rate
        return now() + self.known_seconds

    def most_arrivals(self, host, since):
        """Return the highest number of requests in any window that begins after `since`."""
        times = (at for at in host.instance.arrivals if at >= since)
        return max_in_window(times, self.window_seconds)

    def assert_rate_kept(self, host, rate, since):
        allowed = 1.5 * rate * self.window_seconds + 5
        self.assertLessEqual(self.most_arrivals(host, since), allowed)

    async def test_limited_server_gets_its_rate_and_the_others_take_the_rest(self):
        """Guards against a server that gets its usual share of calls whatever rate it states."""
        in_force = self.state_rate(self.first, "5.3")
        replies = await self.send_stream("/list/", 60, 5.0)
        self.assert_rate_kept(self.first, 5.3, in_force)
        self.assertGreaterEqual(self.most_arrivals(self.first, in_force), 10)
        self.assertEqual({reply.code for reply in replies}, {200})

    async def test_rate_below_one_a_second_is_kept_and_bookings_run_elsewhere(self):
        """Guards against a low rate that is rounded to one call a second, or to none."""
        in_force = self.state_rate(self.first, "0.4")
        replies = await self.send_stream("/book/", 40, 5.0, method="POST")
        self.assertLessEqual(self.most_arrivals(self.first, in_force), 4)
        self.assertGreaterEqual(self.most_arrivals(self.first, in_force), 1)
        self.assertEqual({reply.code for reply in replies}, {200})

    async def test_service_of_limited_servers_refuses_the_rest_at_once(self):
        """Guards against callers that wait for a limited server until their deadline."""
        in_force = self.state_rate(self.third, "4")
        replies = await self.send_stream("/rates/", 40, 5.0)
        refused = [reply for reply in replies if reply.code == 503]
        self.assert_rate_kept(self.third, 4.0, in_force)
        self.assertEqual({reply.code for reply in replies}, {200, 503})
        self.assertGreaterEqual(len(replies) - len(refused), 15)
        self.assertTrue(all(float(reply.headers["Retry-After"]) > 0 for reply in refused))
        self.assertLess(sorted(r.request_time for r in refused)[len(refused) // 2], 0.2)

    async def test_restarted_node_keeps_the_rate_of_its_server(self):
        """Guards against a node that starts and sends at full rate what its peers still limit."""
        in_force = self.state_rate(self.third, "3")
        for _ in range(2):
            await self.send_stream("/rates/", 40, 1.5, self.fleet.hosts[:2])
            self.third.node.kill()
            self.fleet.start_node(self.third)
            await self.until(lambda: self.fleet.ready(self.third), "ready")
        await self.send_stream("/rates/", 40, 2.0, self.fleet.hosts[:2])
        self.assert_rate_kept(self.third, 3.0, in_force)

    async def test_restarted_node_keeps_a_rate_that_only_answers_to_calls_state(self):
        """Guards against a node that starts and fills all slots before the first answer."""
        behaviour = self.third.instance.behaviour
        behaviour.seconds = 0.5
        behaviour.health_states_limit = False
        entries = self.fleet.hosts[:2]
        in_force = self.state_rate(self.third, "0.5") + behaviour.seconds
        await self.send_stream("/rates/", 40, 1.5, entries)
        for _ in range(2):
            self.third.node.kill()
            self.fleet.start_node(self.third)
            await self.until(lambda: self.fleet.ready(self.third), "ready")
            await self.send_stream("/rates/", 40, 0.5, entries)
        self.assert_rate_kept(self.third, 0.5, in_force)

    async def test_rate_is_kept_while_answers_are_lost(self):
        """Guards against a rate that is learnt from answers to calls only."""
        self.third.instance.behaviour.lose_answers = True
        in_force = self.state_rate(self.third, "2")
        await self.send_stream("/rates/", 30, 5.0)
        self.assert_rate_kept(self.third, 2.0, in_force)

    async def test_withdrawn_rate_no_longer_limits(self):
        """Guards against a server that stays without calls once it has withdrawn a low rate."""
        self.state_rate(self.third, "0.2")
        await self.send_stream("/rates/", 40, 2.0)
        self.state_rate(self.third, "")
        await asyncio.sleep(self.used_again_seconds)
        replies = await self.send_stream("/rates/", 40, 1.0)
        self.assertEqual({reply.code for reply in replies}, {200})

    async def test_server_that_has_withdrawn_its_rate_gets_its_share_again(self):
        """Guards against entries that avoid a server until the turn that they last knew."""
        self.state_rate(self.first, "0.2")
        await self.send_stream("/list/", 60, 2.0)
        self.state_rate(self.first, "")
        before = len(self.first.instance.arrivals)
        await self.send_stream("/list/", 60, self.used_again_seconds)
        self.assertGreater(len(self.first.instance.arrivals) - before, 20)

    async def test_rate_is_kept_while_requests_are_rejected(self):
        """Guards against a limit that rejections, which do not state it, lift for a moment."""
        behaviour = self.third.instance.behaviour
        behaviour.rejections_state_limit = False
        behaviour.health_states_limit = False
        in_force = self.state_rate(self.third, "2")
        await self.send_stream("/rates/", 40, 0.6)
        for refuse in (True, False) * 3:
            behaviour.refuse = refuse
            await self.send_stream("/rates/", 40, 0.6)
        self.assert_rate_kept(self.third, 2.0, in_force)

    async def test_new_instance_at_the_address_is_not_limited(self):
        """Guards against a rate that outlives the server that has stated it."""
        self.state_rate(self.third, "0.2")
        await self.send_stream("/rates/", 40, 1.0)
        self.fleet.crash(self.third)
        self.state_rate(self.third, "")

        async def serves():
            replies = await self.send_stream("/rates/", 40, 0.5)
            return {reply.code for reply in replies} == {200}

        await self.until(serves, "the new instance serves every call")


class TestLeaving(FleetCase):
    """Servers that state in their answers that they are leaving; the store lists them as ready."""

    #: Time after which a leaving server must get no calls, in seconds.
    drain_seconds = 2.0

    def count_runs(self, host):
        return len(host.instance.ledger)

    async def state_leaving(self, host):
        """Make the server state that it is leaving, and wait until that must be in force."""
        host.instance.behaviour.leaving = "1"
        await asyncio.sleep(self.drain_seconds)

    async def test_leaving_server_gets_no_calls_though_the_store_lists_it(self):
        """Guards against calls to a server that only its own answers show as leaving."""
        await self.state_leaving(self.first)
        before = self.count_runs(self.first)
        self.fleet.register(self.first)
        replies = await self.send_stream("/list/", 40, 2.0)
        replies += await self.send_stream("/book/", 40, 1.0, method="POST")
        self.assertEqual(self.count_runs(self.first), before)
        self.assertEqual({reply.code for reply in replies}, {200})

    async def test_running_call_completes_and_the_last_server_refuses_at_once(self):
        """Guards against cut calls and waiting callers when the only server of a service leaves."""
        self.third.instance.behaviour.seconds = 1.5
        call = asyncio.create_task(self.fleet.ask(self.first, "/rates/"))

        async def running():
            return self.third.instance.running == 1

        await self.until(running, "the call is running")
        await self.state_leaving(self.third)
        began = now()
        name, reply = await self.fleet.ask(self.second, "/rates/")
        self.assertEqual((reply.code, self.fleet.runs(name)), (503, 0))
        self.assertGreater(float(reply.headers["Retry-After"]), 0.0)
        self.assertLess(now() - began, 1.0)
        _, completed = await call
        self.assertEqual(completed.code, 200)

    async def test_entries_remember_it_when_the_node_beside_the_server_restarts(self):
        """Guards against a restarted node that has not heard it, and entries that ask only it."""
        await self.state_leaving(self.first)
        self.first.instance.behaviour.leaving = ""
        self.first.node.kill()
        before = self.count_runs(self.first)
        self.fleet.start_node(self.first)
        await self.until(lambda: self.fleet.ready(self.first), "ready")
        replies = await self.send_stream("/list/", 40, 2.0, self.fleet.hosts[1:])
        self.assertEqual(self.count_runs(self.first), before)
        self.assertEqual({reply.code for reply in replies}, {200})

    async def test_new_instance_at_the_address_gets_calls(self):
        """Guards against a host that is avoided for good after its server has left."""
        await self.state_leaving(self.third)
        self.fleet.crash(self.third)
        self.third.instance.behaviour.leaving = ""

        async def serves():
            _, reply = await self.fleet.ask(self.first, "/rates/")
            return reply.code == 200

        await self.until(serves, "the new instance serves")

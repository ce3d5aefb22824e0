"""Test the whole path of a call with real processes: caller, entry, owner, backend server."""

import unittest

from caperstack.bench.client import request
from caperstack.bench.scenario import call, small_fleet
from caperstack.calls.headers import OUTCOME
from caperstack.load.ledger import merged_ledger
from caperstack.standin.backend import expected_body

MEBIBYTE = 1024 * 1024


class TestPath(unittest.IsolatedAsyncioTestCase):
    """Calls through two nodes."""

    async def asyncSetUp(self):
        self.fleet = await self.enterAsyncContext(small_fleet(2))

    async def test_every_node_answers_for_the_service(self):
        for host in self.fleet.settings:
            for method in ("GET", "POST", "PUT", "DELETE"):
                name, response = await call(self.fleet, host, method, body=b"x" * 10)
                self.assertEqual(response.code, 200)
                self.assertEqual(response.body, expected_body(name, 64, b"x" * 10))
                self.assertEqual(response.headers[OUTCOME], "answered")

    async def test_large_bodies_arrive_whole(self):
        body = bytes(range(256)) * (8 * MEBIBYTE // 256)
        for host in self.fleet.settings:
            name, response = await call(
                self.fleet, host, path=f"/bookings?size={8 * MEBIBYTE}", body=body
            )
            self.assertEqual(response.body, expected_body(name, 8 * MEBIBYTE, body))

    async def test_body_beyond_the_limit_is_refused_unread(self):
        name, response = await call(self.fleet, "n0", body=bytes(100 * MEBIBYTE))
        self.assertEqual((response.code, response.headers[OUTCOME]), (413, "not-run"))
        self.assertNotIn(name, merged_ledger(await self.fleet.ledgers()))
        _, response = await call(self.fleet, "n0")
        self.assertEqual(response.code, 200)

    async def test_head_has_no_body(self):
        _, response = await call(self.fleet, "n0", "HEAD", "/listings")
        self.assertEqual((response.code, response.body), (200, b""))

    async def test_unknown_route_is_not_run(self):
        _, response = await call(self.fleet, "n0", path="/nowhere")
        self.assertEqual((response.code, response.headers[OUTCOME]), (404, "not-run"))

    async def test_bad_deadline_names_the_header(self):
        response = await request(
            self.fleet.caller_address("n0"),
            "GET",
            "/listings",
            headers={"Caperstack-Time-Left-Ms": "soon"},
        )
        self.assertEqual(response.code, 400)
        self.assertIn(b"Caperstack-Time-Left-Ms", response.body)

"""Real nodes beside backend servers that send bytes which are no answer."""

from caperstack.platform.names import SERVER_SEAL_HEADER
from caperstack.platform.tests.fleetcase import FleetCase

SEALED = f"{SERVER_SEAL_HEADER}: 2\r\nContent-Length: 2\r\n\r\nok".encode()


class TestBrokenAnswers(FleetCase):
    """A backend server sends broken answers to requests, and sound ones to health checks."""

    async def assert_not_passed_on(self, raw):
        """Assert that callers at either end of a link are told of a failure, and nothing else."""
        self.third.instance.behaviour.raw = raw
        for host in (self.first, self.third):
            name, reply = await self.fleet.ask(host, "/rates/a", "POST")
            self.assertEqual((reply.code, self.fleet.runs(name)), (502, 1))
            self.assertNotIn(SERVER_SEAL_HEADER, reply.headers)
        self.third.instance.behaviour.raw = b""
        _, reply = await self.fleet.ask(self.first, "/rates/a")
        self.assertEqual((reply.code, reply.body), (200, b"whole answer"))

    async def test_status_that_http_does_not_have_reaches_no_caller(self):
        """Guards against a caller that gets the status 000 as an answer."""
        await self.assert_not_passed_on(b"HTTP/1.1 000 OK\r\n" + SEALED)

    async def test_blank_or_control_byte_in_the_name_of_a_field_reaches_no_caller(self):
        """Guards against a head whose lines are passed on, or passed over, as they come."""
        for line in (b"X Y: 1\r\n", b"Content-Length : 1\r\n", b"X\x01: 1\r\n"):
            with self.subTest(line):
                await self.assert_not_passed_on(b"HTTP/1.1 200 OK\r\n" + line + SEALED)


class TestUnusualAnswers(FleetCase):
    """A backend server sends answers that few servers send, but that the grammar allows."""

    async def test_answer_without_a_reason_is_passed_on(self):
        """Guards against a link between nodes, or a status line, that an empty reason breaks."""
        self.third.instance.behaviour.raw = b"HTTP/1.1 200 \r\n" + SEALED
        for host in (self.first, self.third):
            _, reply = await self.fleet.ask(host, "/rates/a", "POST")
            # The caller's library puts its own text for an empty reason.
            self.assertEqual((reply.code, reply.body, reply.reason), (200, b"ok", "OK"))

"""Test that the benchmarks of the Makefile start, and that their calls are answered."""

import contextlib
import importlib
import io
import re
import unittest
from pathlib import Path

from caperstack.addresses import split_address
from caperstack.backend.client import BackendClient
from caperstack.bench import hop, routing, transports
from caperstack.bench.fleet import free_addresses
from caperstack.calls.headers import request_id
from caperstack.standin.backend import StandinBackend

MAKEFILE = Path(__file__).parents[3] / "Makefile"


class TestStart(unittest.TestCase):
    """The command lines of the benchmarks."""

    def test_each_benchmark_of_the_makefile_starts(self):
        """Guards against a benchmark that ends at import since a message got another field."""
        names = re.search(r"^BENCHES = (.+)$", MAKEFILE.read_text(encoding="utf-8"), re.M)[1]
        for name in names.split():
            module = importlib.import_module(f"caperstack.bench.{name}")
            output = contextlib.redirect_stdout(io.StringIO())
            with output, self.assertRaises(SystemExit, msg=name) as ended:
                module.main(["--help"])
            self.assertEqual(ended.exception.code, 0, name)


class TestCalls(unittest.IsolatedAsyncioTestCase):
    """The calls that benchmarks send with `BackendClient`."""

    async def test_each_call_is_answered(self):
        """Guards against benchmarks whose calls are all rejected as malformed, or never answered.

        HTTP/1.1 requires a Host header, and the client takes a response with another request id
        than the call's for a late one.
        """
        (address,) = free_addresses(1)
        backend = StandinBackend(split_address(address)[1])
        await backend.start()
        client = BackendClient(address, 4, 1 << 20)
        for call in (hop._call("/x"), routing._call(), transports._call()):
            self.assertEqual(request_id(call.request_id), call.request_id)
            self.assertEqual((await client.fetch(call)).status, 200)
        await client.stop()

"""make bench-transports: compare transports between nodes by echoing calls, interleaved."""

import argparse
import asyncio
import sys
import tempfile

import grpc

from caperstack.addresses import split_address
from caperstack.backend.client import BackendClient
from caperstack.bench.fleet import Process, free_addresses
from caperstack.calls.headers import request_id
from caperstack.calls.model import Call
from caperstack.clock import deadline_after, now
from caperstack.load.report import latency_histogram
from caperstack.operators.metrics import Metrics
from caperstack.peers.connection import PeerConnection
from caperstack.peers.messages import Answer, LoadReport
from caperstack.standin.backend import StandinBackend

__all__ = ["main"]

BODY = b"x" * 512
ROUND_CALLS = 100
CALL_SECONDS = 10.0
METHOD = "/echo/Echo"
STREAM = "/echo/Stream"
NO_LOAD = LoadReport(
    in_flight=0, queued=0, limit=0, service_us=0, state=0, failing=0, published=0, pace=0
)


# -- servers -------------------------------------------------------------------


async def _serve_frames(address):
    async def accept(reader, writer):
        connection = PeerConnection(reader, writer, "caller", Metrics("echo"))
        async for message, body in connection.messages():
            connection.send(message, body)

    server = await asyncio.start_server(accept, *split_address(address))
    await server.serve_forever()


async def _serve_grpc(address):
    async def unary(request, _context):
        return request

    async def stream(requests, _context):
        async for request in requests:
            yield request

    handlers = {
        "Echo": grpc.unary_unary_rpc_method_handler(unary),
        "Stream": grpc.stream_stream_rpc_method_handler(stream),
    }
    server = grpc.aio.server()
    server.add_generic_rpc_handlers((grpc.method_handlers_generic_handler("echo", handlers),))
    server.add_insecure_port(address)
    await server.start()
    await server.wait_for_termination()


async def _serve_http(address):
    await StandinBackend(split_address(address)[1]).start()
    await asyncio.Event().wait()


_SERVERS = {"frames": _serve_frames, "grpc": _serve_grpc, "http": _serve_http}


# -- callers: each returns an async function that sends one call ----------------


async def _frames_caller(address):
    reader, writer = await asyncio.open_connection(*split_address(address))
    connection = PeerConnection(reader, writer, address, Metrics("caller"))
    replies = connection.messages()

    async def one():
        connection.send(Answer(1, len(BODY), 200, "OK", [], NO_LOAD, 0), BODY)
        await anext(replies)

    return one


async def _unary_caller(address):
    call = grpc.aio.insecure_channel(address).unary_unary(METHOD)

    async def one():
        await call(BODY)

    return one


async def _stream_caller(address):
    call = grpc.aio.insecure_channel(address).stream_stream(STREAM)()

    async def one():
        await call.write(BODY)
        await call.read()

    return one


def _call():
    return Call(
        id=0,
        origin="",
        request_id=request_id(""),
        service="",
        method="POST",
        target="/",
        headers=[("Host", "x")],
        body=BODY,
        deadline=deadline_after(CALL_SECONDS),
        idempotent=True,
    )


async def _http_caller(address):
    client = BackendClient(address, 4, 1 << 20)

    async def one():
        await client.fetch(_call())

    return one


_CALLERS = {
    "frames on TCP, msgspec": ("frames", _frames_caller),
    "grpc.aio unary": ("grpc", _unary_caller),
    "grpc.aio stream": ("grpc", _stream_caller),
    "HTTP, tornado both ways": ("http", _http_caller),
}


async def _measure(addresses, rounds):
    """Send rounds of calls over the transports in turn; return the latencies by name.

    The first round only warms up and is not counted.
    """
    callers = {name: await make(addresses[server]) for name, (server, make) in _CALLERS.items()}
    latencies = {name: [] for name in callers}
    for number in range(rounds + 1):
        for name, one in callers.items():
            for _ in range(ROUND_CALLS):
                started = now()
                await one()
                if number:
                    latencies[name].append(now() - started)
    return latencies


async def _run(rounds):
    """Start an echo server per transport, measure them, and stop the servers."""
    with tempfile.TemporaryDirectory() as directory:
        addresses = dict(zip(_SERVERS, free_addresses(len(_SERVERS)), strict=True))
        processes = [
            Process(kind, ["caperstack.bench.transports", "--serve", kind, address], directory)
            for kind, address in addresses.items()
        ]
        try:
            for process, address in zip(processes, addresses.values(), strict=True):
                process.start()
                await process.listening(address)
            return await _measure(addresses, rounds)
        finally:
            for process in processes:
                process.kill()


def main(arguments=None):
    """Run the command line; return the exit status."""
    parser = argparse.ArgumentParser(prog="bench-transports", description=__doc__)
    parser.add_argument(
        "--rounds", type=int, default=20, help="rounds of 100 calls over each transport"
    )
    parser.add_argument("--serve", nargs=2, metavar=("KIND", "ADDRESS"), help=argparse.SUPPRESS)
    options = parser.parse_args(arguments)
    if options.serve:
        asyncio.run(_SERVERS[options.serve[0]](options.serve[1]))
        return 0
    for name, latencies in asyncio.run(_run(options.rounds)).items():
        histogram = latency_histogram(latencies)
        median, tail = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
        print(f"{name:24} median {median:.3f} ms  p99 {tail:.3f} ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Shared parts of failure tests: small fleets of real processes, and calls to them."""

import itertools
import uuid

from caperstack.bench.client import request
from caperstack.bench.fleet import Fleet, node_settings
from caperstack.bench.proxy import FaultProxy
from caperstack.calls.headers import IDEMPOTENCY_KEY, TIME_LEFT
from caperstack.standin.backend import LEDGER_ID

__all__ = ["SUBTREES", "ProxiedFleet", "call", "small_fleet"]

#: One service with a non-idempotent route (high criticality) and an idempotent one (low),
#: without hedging.
SUBTREES = {
    "": {
        "services": {"bookings": {"hedge_share": 0.0}},
        "routes": [
            {"path": "/bookings", "service": "bookings", "criticality": "high"},
            {"path": "/listings", "service": "bookings", "criticality": "low"},
        ],
    }
}


def small_fleet(count=2, subtrees=SUBTREES, backend=None, service="bookings", **changes):
    """Return a `Fleet` of `count` nodes ``n0``, ``n1``… spread over zones a, b and c.

    `changes` are added to the settings of every node.
    """
    nodes = [
        node_settings(f"n{i}", "abc"[i % 3], service, settings=subtrees, **changes)
        for i in range(count)
    ]
    return Fleet(nodes, subtrees, backend=backend, with_configuration=False)


async def call(fleet, host, method="POST", path="/bookings", key="", body=b"", milliseconds=5000):
    """Send one call through the node of `host`.

    Parameters
    ----------
    key : str
        The idempotency key; empty for none.
    milliseconds : int
        The time left that the call announces.

    Returns
    -------
    name, response : str, tornado.httpclient.HTTPResponse
        The call's name in the ledgers, and the response that the caller received.
    """
    name = uuid.uuid4().hex
    headers = {
        LEDGER_ID: name,
        TIME_LEFT: str(milliseconds),
        "Content-Type": "application/octet-stream",
    }
    if key:
        headers[IDEMPOTENCY_KEY] = key
    response = await request(fleet.caller_address(host), method, path, headers, body)
    return name, response


class ProxiedFleet:
    """A small fleet with a `FaultProxy` between each ordered pair of nodes.

    Attributes
    ----------
    fleet : Fleet
        The nodes.
    proxies : dict of (str, str) to FaultProxy
        The proxy for connections from the first host to the second.
    """

    def __init__(self, count=2, subtrees=SUBTREES, backend=None, node_module=None, **changes):
        names = [f"n{i}" for i in range(count)]
        nodes = {
            name: node_settings(name, "abc"[i % 3], "bookings", settings=subtrees, **changes)
            for i, name in enumerate(names)
        }
        self.proxies = {
            (a, b): FaultProxy(nodes[b]["peer_address"], seed=i)
            for i, (a, b) in enumerate(itertools.permutations(names, 2))
        }
        for (a, b), proxy in self.proxies.items():
            seed = {"host": b, "zone": nodes[b]["zone"], "service": "bookings"}
            nodes[a].setdefault("peers", []).append(seed | {"peer_address": proxy.address})
        self.fleet = Fleet(
            list(nodes.values()),
            subtrees,
            backend=backend,
            with_configuration=False,
            with_hosts=False,
            node_module=node_module or ("caperstack.node.main",),
        )

    async def __aenter__(self):
        for proxy in self.proxies.values():
            await proxy.start()
        await self.fleet.start()
        return self

    async def __aexit__(self, *_):
        for proxy in self.proxies.values():
            proxy.partition(False)
        await self.fleet.stop()
        for proxy in self.proxies.values():
            await proxy.stop()

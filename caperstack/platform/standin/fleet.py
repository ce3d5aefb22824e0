"""A fleet on loopback: real nodes, with stand-ins for the platform's store and backend servers."""

import asyncio
import itertools
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from caperstack.bench.client import request
from caperstack.bench.fleet import Process, free_addresses
from caperstack.clock import deadline_after, now
from caperstack.exception import CaperstackError
from caperstack.platform.names import (
    BOOT_VARIABLE,
    CONFIGURATION_KEY,
    DIALECT,
    EVACUATIONS_PREFIX,
    READY_PATH,
)
from caperstack.platform.standin.instance import StandinInstance
from caperstack.platform.standin.store import StandinStore

__all__ = ["Host", "PlatformFleet", "PlatformNode", "ServerCrash", "configuration", "route_row"]

#: Loopback address of the first host; the others follow it.
FIRST_IP = (127, 0, 0, 11)

ROUTE_COLUMNS = [
    "name",
    "authority",
    "prefix",
    "kind",
    "timeout",
    "targetLatency",
    "priority",
    "service",
    "maxAttempts",
    "trafficSplit",
]

_serial_numbers = itertools.count(1)


def route_row(prefix, service, kind="idempotent", attempts=2, **changes):
    """Return a row of the configuration's route table, with the columns in `changes` replaced."""
    row = {
        "name": f"r{prefix.replace('/', '-')}",
        "authority": "x.example",
        "prefix": prefix,
        "kind": kind,
        "timeout": "3s",
        "targetLatency": "600ms",
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "trafficSplit": None,
    }
    return [(row | changes)[column] for column in ROUTE_COLUMNS]


def configuration(version, routes, services, connections=200, cold_per_second=0):
    """Return a configuration document as operators write it.

    `routes` are rows as returned by `route_row`, `cold_per_second` is the rate of requests
    that a cold server tolerates (0 for no rate).
    """
    return {
        "version": version,
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
        "services": {
            "columns": ["name", "healthPath", "maxConnections", "cold", "coldPerS"],
            "rows": [[name, "/health", connections, "3s", cold_per_second] for name in services],
        },
        "limits": {"maxBodyBytes": 1 << 20, "idleTimeout": "15s"},
    }


class PlatformNode(Process):
    """A node process started as the platform does, with its start settings in a file.

    An environment variable names that file; the output can be read at any time.
    """

    def __init__(self, name, boot_path, directory):
        super().__init__(name, ["caperstack.platform"], directory)
        self.boot_path = boot_path

    def start(self):
        """Start the process."""
        with open(self._path, "ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "caperstack.platform"],
                stdout=log,
                stderr=log,
                env=os.environ | {BOOT_VARIABLE: str(self.boot_path)},
            )

    def all_lines(self):
        """Return all log lines so far, decoded from JSON."""
        return [json.loads(line) for line in self.output.splitlines() if line[:1] == "{"]

    def lines(self, kind):
        """Return the log lines of a kind, decoded from JSON."""
        return [line for line in self.all_lines() if line["kind"] == kind]


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """A crash of a backend server: when, which instance, and the request target that caused it.

    The target is empty if no request caused the crash.
    """

    at: float
    instance: str
    target: str


@dataclass
class Host:
    """One host of the fleet: address, zone, backend server, start settings and node."""

    ip: str
    zone: str
    instance: StandinInstance
    boot: dict
    node: PlatformNode

    @property
    def outbound(self):
        """The address to which callers on the host send their requests."""
        return self.boot["listen"]["outbound"]


class PlatformFleet:
    """A store and hosts with a node and a backend server each, as an asynchronous context.

    Parameters
    ----------
    services : list of str
        The service of each host, in order.
    routes : list
        Rows as returned by `route_row`.
    page_items : int
        How many items the store returns per page.

    Attributes
    ----------
    crashes : list of ServerCrash
        The crashes of backend servers so far.
    down_seconds : float
        How long a crashed server is down before it restarts.
    unlisted_seconds : float
        How long after its restart the server registers itself.
    cold_per_second : float
        Requests per second that a cold server tolerates according to the configuration;
        0 for no rate.
    """

    def __init__(self, services, routes, page_items=50):
        self._directory = tempfile.TemporaryDirectory(prefix="caperstack-")
        ports = [address.rpartition(":")[2] for address in free_addresses(6)]
        self._ports = dict(
            zip(("outbound", "ready", "peers", "metrics", "backend", "store"), ports, strict=True)
        )
        # A node serves its metrics at the port after its peer port.
        self._ports["metrics"] = str(int(self._ports["peers"]) + 1)
        self._version = 0
        self._restarts = {}
        self.crashes = []
        self.down_seconds = 1.0
        self.unlisted_seconds = 0.0
        self.cold_per_second = 0
        self.store_addresses = [f"127.0.0.{n}:{self._ports['store']}" for n in (2, 3)]
        self.store = StandinStore(self.store_addresses, page_items)
        self.routes = routes
        self.services = sorted(set(services))
        self.hosts = [self._host(number, service) for number, service in enumerate(services)]

    def _host(self, number, service):
        ip = ".".join(str(part) for part in (*FIRST_IP[:3], FIRST_IP[3] + number))
        ports = self._ports
        name = f"i-{next(_serial_numbers):06x}"
        instance = StandinInstance(f"{ip}:{ports['backend']}", service, name)
        boot = {
            "nodeName": f"host-{number}",
            "ip": ip,
            "zone": "abc"[number % 3],
            "region": "r",
            "listen": {"outbound": f"{ip}:{ports['outbound']}", "ready": f"{ip}:{ports['ready']}"},
            "portRange": [int(ports["peers"]), int(ports["peers"]) + 15],
            "appAddress": instance.address,
            "service": service,
            "platformSettings": {"address": self.store_addresses[0]},
            "heartbeat": "1500ms",
            "bounds": {
                "retryBudgetRatio": 0.2,
                "budgetMinRetries": 64,
                "budgetWindow": "10s",
                "coldOverage": 1.5,
                "coldSlack": 8,
                "grace": "6s",
            },
        }
        path = Path(self._directory.name) / f"boot-{number}.json"
        node = PlatformNode(f"node-{number}", path, self._directory.name)
        host = Host(ip, boot["zone"], instance, boot, node)
        instance.on_crash = lambda _instance, target: self.crash(host, target)
        return host

    async def __aenter__(self):
        await self.store.start()
        self.configure()
        for host in self.hosts:
            await host.instance.start()
            self.register(host)
        try:
            for host in self.hosts:
                self.start_node(host)
            for host in self.hosts:
                await self.until_ready(host)
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_):
        for task in self._restarts.values():
            task.cancel()
        for host in self.hosts:
            host.node.signal(signal.SIGCONT)
            if host.node.running:
                host.node.kill()
            await host.instance.stop()
        await self.store.stop()
        self._directory.cleanup()

    def configure(self):
        """Publish the current routes as the next version of the configuration."""
        self._version += 1
        self.rewrite_configuration()

    def rewrite_configuration(self):
        """Write the current version again, as operators do when the store has lost it."""
        document = configuration(
            self._version, self.routes, self.services, cold_per_second=self.cold_per_second
        )
        self.store.put(CONFIGURATION_KEY, document)

    def register(self, host, state="ready"):
        """Write the store entry of the host's backend server."""
        self.store.put(f"servers/{host.instance.name}", host.instance.entry(host.zone, state))

    def evacuate(self, zone):
        """Evacuate a zone: its backend servers get no further calls."""
        self.store.put(f"{EVACUATIONS_PREFIX}{zone}", {})

    def end_evacuation(self, zone):
        """End the evacuation of a zone."""
        self.store.remove(f"{EVACUATIONS_PREFIX}{zone}")

    def withdraw(self, host):
        """Remove the store entry of the host's backend server."""
        self.store.remove(f"servers/{host.instance.name}")

    def crash(self, host, target=""):
        """Crash the backend server of `host` and restart it later as a new instance.

        Nothing happens if the server is down already: two requests may crash it in the
        same iteration of the event loop.
        """
        if host.ip in self._restarts:
            return
        self.crashes.append(ServerCrash(now(), host.instance.name, target))
        task = self._restarts[host.ip] = asyncio.create_task(self._restart_server(host))
        task.add_done_callback(lambda _task: self._restarts.pop(host.ip))

    async def _restart_server(self, host):
        await host.instance.crash()
        await asyncio.sleep(self.down_seconds)
        self.withdraw(host)
        host.instance.name = f"i-{next(_serial_numbers):06x}"
        await host.instance.start()
        await asyncio.sleep(self.unlisted_seconds)
        self.register(host)

    async def restore_store(self, copy, away_seconds=1.0):
        """Make the store unreachable for `away_seconds`, then restore it from `copy`."""
        for faults in self.store.faults.values():
            faults.cut = True
        await asyncio.sleep(away_seconds)
        self.store.restore_from(copy)
        for faults in self.store.faults.values():
            faults.cut = False

    def write_boot(self, host):
        """Write the start settings file of `host`, as the platform does when they change."""
        host.node.boot_path.write_text(json.dumps(host.boot), encoding="utf-8")

    def start_node(self, host):
        """Start the node of `host` with its current start settings."""
        self.write_boot(host)
        host.node.start()

    async def until_ready(self, host):
        """Wait until the node of `host` is ready and knows as many members as there are hosts."""

        async def condition():
            return await self.ready(host) and await self.member_count(host) >= len(self.hosts)

        await self.until(condition, f"{host.ip} ready")

    async def ready(self, host):
        """Return whether the readiness endpoint of the node answers 200."""
        try:
            reply = await request(host.boot["listen"]["ready"], "GET", READY_PATH)
        except OSError:
            return False
        return reply.code == 200

    async def member_count(self, host):
        """Return how many members the node of `host` knows."""
        reply = await request(self.metrics_address(host), "GET", "/members")
        return len(json.loads(reply.body)["members"])

    def metrics_address(self, host):
        """Return the address at which the node of `host` serves its metrics."""
        return f"{host.ip}:{self._ports['metrics']}"

    async def until(self, condition, what, seconds=30.0):
        """Wait until ``await condition()`` is true.

        Raises
        ------
        CaperstackError
            If it is still false after `seconds`; `what` names the condition in the message.
        """
        limit = deadline_after(seconds)
        while not await condition():
            if now() > limit:
                raise CaperstackError("did not become true in time", step="wait", peer=what)
            await _pause()

    def keep_logs(self):
        """Copy the output of all nodes to a directory that is not deleted, and return its path."""
        kept = tempfile.mkdtemp(prefix="caperstack-kept-")
        return shutil.copytree(self._directory.name, kept, dirs_exist_ok=True)

    def new_request_id(self):
        """Return a request id that has not been used yet."""
        return f"{next(_serial_numbers):016x}"

    async def ask(
        self, host, path, method="GET", milliseconds=3000, body=b"", name=None, **headers
    ):
        """Send a request through the node of `host`.

        Parameters
        ----------
        milliseconds : int
            The time left, as the caller states it in its header.
        name : str, optional
            The request id; a new one by default.

        Returns
        -------
        tuple of (str, tornado.httpclient.HTTPResponse)
            The request id and the response.
        """
        name = name or self.new_request_id()
        sent = {
            "Host": "x.example",
            DIALECT.request_id: name,
            DIALECT.time_left: str(milliseconds),
        }
        return name, await request(host.outbound, method, path, sent | headers, body)

    def runs(self, name):
        """Return how often the request with the id `name` ran, over all backend servers."""
        return sum(host.instance.runs[name] for host in self.hosts)


async def _pause():
    await asyncio.sleep(0.02)

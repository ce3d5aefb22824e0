"""A fleet on the platform's stand-ins: store, backend servers and real nodes on loopback."""

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

#: The first of the loopback addresses that stand for hosts; one for each.
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

_names = itertools.count(1)


def route_row(prefix, service, kind="idempotent", attempts=2, **changes):
    """Return a row of the configuration's routes; `changes` are by column."""
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
    """Return a configuration with `routes` as `route_row` makes them, as operators write it."""
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
    """A node as the platform starts it: settings by environment, output read at will."""

    def __init__(self, name, boot_path, directory):
        super().__init__(name, ["caperstack.platform"], directory)
        self.boot_path = boot_path

    def start(self):
        """Start it."""
        with open(self._path, "ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "caperstack.platform"],
                stdout=log,
                stderr=log,
                env=os.environ | {BOOT_VARIABLE: str(self.boot_path)},
            )

    def all_lines(self):
        """Return all log lines, decoded."""
        return [json.loads(line) for line in self.output.splitlines() if line[:1] == "{"]

    def lines(self, kind):
        """Return the log lines of that kind, decoded."""
        return [line for line in self.all_lines() if line["kind"] == kind]


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """A backend server that ended: when, which, and of what target if of one."""

    at: float
    instance: str
    target: str


@dataclass
class Host:
    """One host of the fleet: its place, its backend server and its node."""

    ip: str
    zone: str
    instance: StandinInstance
    boot: dict
    node: PlatformNode

    @property
    def outbound(self):
        """Where callers on the host send their requests."""
        return self.boot["listen"]["outbound"]


class PlatformFleet:
    """Hosts with a node and a backend server each, and the store.

    Parameters
    ----------
    services : list of str
        The service of each host in turn.
    routes : list
        Rows as `route_row` makes them.

    Attributes
    ----------
    crashes : list of ServerEnd
        The backend servers that requests have ended.
    down_seconds : float
        How long it takes until such a server has started again.
    unlisted_seconds : float
        How long after its start until it registers.
    cold_per_second : float
        Requests a second that cold servers are said to tolerate; 0 for no word.
    """

    def __init__(self, services, routes, page_items=50):
        self._directory = tempfile.TemporaryDirectory(prefix="caperstack-")
        ports = [address.rpartition(":")[2] for address in free_addresses(6)]
        self._ports = dict(
            zip(("outbound", "ready", "peers", "metrics", "backend", "store"), ports, strict=True)
        )
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
        name = f"i-{next(_names):06x}"
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
        """Publish the present routes as the next version."""
        self._version += 1
        self.rewrite_configuration()

    def rewrite_configuration(self):
        """Write the present version again, as operators do when the store has lost it."""
        document = configuration(
            self._version, self.routes, self.services, cold_per_second=self.cold_per_second
        )
        self.store.put(CONFIGURATION_KEY, document)

    def register(self, host, state="ready"):
        """Write the entry of the host's backend server."""
        self.store.put(f"servers/{host.instance.name}", host.instance.entry(host.zone, state))

    def evacuate(self, zone):
        """Ask that nothing more be sent to the backend servers of a zone."""
        self.store.put(f"{EVACUATIONS_PREFIX}{zone}", {})

    def end_evacuation(self, zone):
        """End the evacuation of a zone."""
        self.store.remove(f"{EVACUATIONS_PREFIX}{zone}")

    def withdraw(self, host):
        """Remove the entry of the host's backend server."""
        self.store.remove(f"servers/{host.instance.name}")

    def crash(self, host, target=""):
        """The backend server of `host` ends at once; another start of it follows.

        One that is down already ends no second time: two requests may end it in one
        turn of the loop.
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
        host.instance.name = f"i-{next(_names):06x}"
        await host.instance.start()
        await asyncio.sleep(self.unlisted_seconds)
        self.register(host)

    async def restore_store(self, copy, away_seconds=1.0):
        """The store is away for a moment and comes back from `copy`."""
        for faults in self.store.faults.values():
            faults.cut = True
        await asyncio.sleep(away_seconds)
        self.store.restore_from(copy)
        for faults in self.store.faults.values():
            faults.cut = False

    def write_boot(self, host):
        """Write the start settings of `host`, as the platform does when they change."""
        host.node.boot_path.write_text(json.dumps(host.boot), encoding="utf-8")

    def start_node(self, host):
        """Start the node of `host`, with its present settings."""
        self.write_boot(host)
        host.node.start()

    async def until_ready(self, host):
        """Wait until the node says that it takes requests and knows all registered hosts."""

        async def condition():
            return await self.ready(host) and await self.member_count(host) >= len(self.hosts)

        await self.until(condition, f"{host.ip} ready")

    async def ready(self, host):
        """Return whether the node says that it takes requests."""
        try:
            reply = await request(host.boot["listen"]["ready"], "GET", READY_PATH)
        except OSError:
            return False
        return reply.code == 200

    async def member_count(self, host):
        """Return how many hosts the node knows."""
        reply = await request(self.metrics_address(host), "GET", "/members")
        return len(json.loads(reply.body)["members"])

    def metrics_address(self, host):
        """Return where the node of `host` shows its counters."""
        return f"{host.ip}:{self._ports['metrics']}"

    async def until(self, condition, what, seconds=30.0):
        """Wait until ``await condition()`` is true."""
        limit = deadline_after(seconds)
        while not await condition():
            if now() > limit:
                raise CaperstackError("did not come true in time", step="wait", peer=what)
            await _pause()

    def keep_logs(self):
        """Copy the output of all nodes to a folder that stays; return its path."""
        kept = tempfile.mkdtemp(prefix="caperstack-kept-")
        return shutil.copytree(self._directory.name, kept, dirs_exist_ok=True)

    def new_request_id(self):
        """Return an id for a request."""
        return f"{next(_names):016x}"

    async def ask(
        self, host, path, method="GET", milliseconds=3000, body=b"", name=None, **headers
    ):
        """Send a request through the node of `host`; return its id and tornado's response."""
        name = name or self.new_request_id()
        sent = {
            "Host": "x.example",
            DIALECT.request_id: name,
            DIALECT.time_left: str(milliseconds),
        }
        return name, await request(host.outbound, method, path, sent | headers, body)

    def runs(self, name):
        """Return how often the request `name` ran, on all backend servers together."""
        return sum(host.instance.runs[name] for host in self.hosts)


async def _pause():
    await asyncio.sleep(0.02)

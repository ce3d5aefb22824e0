"""Start nodes and stand-ins as real processes on loopback, for demo, benches and tests."""

import asyncio
import ctypes
import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from caperstack.addresses import split_address
from caperstack.bench.client import request
from caperstack.clock import deadline_after, now
from caperstack.exception import CaperstackError

__all__ = ["Fleet", "Process", "free_addresses", "node_settings"]

READY_SECONDS = 60.0
STOP_SECONDS = 60.0
POLL_SECONDS = 0.02

#: Ports below the range from which the system picks those of outgoing
#: connections, cut into slices so that fleets of different processes differ.
FIRST_PORT = 12_000
PORTS_PER_SLICE = 500
PORT_SLICES = 40

#: From linux/prctl.h.
PR_SET_PDEATHSIG = 1

_ports = itertools.count()


def free_addresses(count):
    """Return `count` loopback addresses on which nobody listens."""
    addresses = []
    while len(addresses) < count:
        offset = (os.getpid() % PORT_SLICES) * PORTS_PER_SLICE + next(_ports) % PORTS_PER_SLICE
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", FIRST_PORT + offset))
            except OSError:
                continue
        addresses.append(f"127.0.0.1:{FIRST_PORT + offset}")
    return addresses


def node_settings(host, zone, service, **changes):
    """Return the start settings of a node on free ports, a dict."""
    caller, peer, operator, backend = free_addresses(4)
    return {
        "host": host,
        "zone": zone,
        "caller_address": caller,
        "peer_address": peer,
        "operator_address": operator,
        "backend": {"address": backend, "service": service},
        "security": {"mode": "plain"},
        "log": {"to": "stderr"},
    } | changes


def _kill_with_parent():
    # A bench that is killed cannot end its processes; they would run on and
    # spoil the figures of the next one.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process that was started here, and its output in a file."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self._arguments = arguments
        self._path = Path(directory) / f"{name}.log"
        self._popen = None

    @property
    def pid(self):
        """The process id."""
        return self._popen.pid

    @property
    def running(self):
        """Whether the process has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def output(self):
        """What it has printed."""
        return self._path.read_text(encoding="utf-8", errors="replace")

    def start(self):
        """Start it."""
        with open(self._path, "ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdout=log,
                stderr=log,
                preexec_fn=_kill_with_parent,
            )

    def signal(self, number):
        """Send it a signal."""
        if self.running:
            self._popen.send_signal(number)

    async def ended(self):
        """Wait for its end; return the exit status."""
        limit = deadline_after(STOP_SECONDS)
        while self.running:
            if now() > limit:
                raise CaperstackError("did not end", step="stop", peer=self.name)
            await asyncio.sleep(POLL_SECONDS)
        return self._popen.returncode

    def kill(self):
        """End it at once."""
        self.signal(signal.SIGKILL)
        if self.running:
            self._popen.wait()

    async def listening(self, address):
        """Wait until it accepts connections at `address`."""
        ip, port = split_address(address)
        limit = deadline_after(READY_SECONDS)
        while now() < limit:
            if not self.running:
                raise CaperstackError(f"ended: {self.output[-2000:]}", step="start", peer=self.name)
            try:
                _, writer = await asyncio.open_connection(ip, port)
            except OSError:
                await asyncio.sleep(POLL_SECONDS)
                continue
            writer.close()
            return
        raise CaperstackError("does not listen", step="start", peer=self.name)

    def cpu_seconds(self):
        """Return the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        """Return the resident memory in bytes."""
        fields = Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


class Fleet:
    """Nodes with their backend servers, and the platform's stand-ins.

    Parameters
    ----------
    nodes : list of dict
        Start settings, as `node_settings` makes them.
    subtrees : dict
        Settings of teams, served by the configuration stand-in.
    backend : dict
        Options of the backend stand-ins: ``slots``, ``mean_ms``, ``sigma``.
    with_configuration, with_hosts : bool
        Whether these stand-ins run; without, the start settings must do.
    node_module : tuple of str
        The module that runs a node, and arguments before its settings.
    """

    def __init__(
        self,
        nodes,
        subtrees,
        backend=None,
        with_configuration=True,
        with_hosts=True,
        node_module=("caperstack.node.main",),
    ):
        self._directory = tempfile.TemporaryDirectory(prefix="caperstack-")
        self._subtrees = subtrees
        self._backend_options = backend or {}
        self._with_configuration = with_configuration
        self._with_hosts = with_hosts
        self._node_module = node_module
        self.settings = {node["host"]: node for node in nodes}
        self.nodes = {}
        self.backends = {}
        self.platform = {}

    async def __aenter__(self):
        try:
            await self.start()
        except BaseException:
            self.kill_all()
            raise
        return self

    async def __aexit__(self, *_):
        await self.stop()

    async def start(self):
        """Start everything and wait until it listens."""
        await self._start_platform()
        for number, host in enumerate(self.settings):
            self._start_backend(host, number)
        for host in self.settings:
            self.start_node(host)
        for host in self.settings:
            await self.ready(host)

    async def _start_platform(self):
        first = next(iter(self.settings.values()))
        if self._with_configuration:
            address = first.get("configuration") or free_addresses(1)[0]
            path = self._write("subtrees", self._subtrees)
            arguments = ["configuration", "--subtrees", path]
            self._start_standin("configuration", address, arguments)
        if self._with_hosts:
            address = first.get("host_list") or free_addresses(1)[0]
            path = self._write("hosts", {"hosts": self.host_entries()})
            self._start_standin("hosts", address, ["hosts", "--hosts", path])
        for node in self.settings.values():
            if self._with_configuration:
                node.setdefault("configuration", self.platform["configuration"][0])
            if self._with_hosts:
                node.setdefault("host_list", self.platform["hosts"][0])
        for address, process in self.platform.values():
            await process.listening(address)

    def _start_standin(self, name, address, arguments):
        port = address.rpartition(":")[2]
        process = self._process(name, ["caperstack.standin.main", *arguments, "--port", port])
        process.start()
        self.platform[name] = (address, process)

    def host_entries(self, leaving=()):
        """Return the lines of the host list."""
        return [
            {
                "host": node["host"],
                "zone": node["zone"],
                "region": node.get("region", "local"),
                "service": node["backend"]["service"],
                "peer_address": node["peer_address"],
                "state": "leaving" if node["host"] in leaving else "live",
            }
            for node in self.settings.values()
        ]

    def _start_backend(self, host, number):
        node = self.settings[host]
        for other, process in self.backends.items():
            # Nodes of a bench may share a backend server.
            if self.settings[other]["backend"]["address"] == node["backend"]["address"]:
                self.backends[host] = process
                return
        options = self._backend_options
        process = self._process(
            f"backend-{host}",
            [
                "caperstack.standin.main",
                "backend",
                "--port",
                node["backend"]["address"].rpartition(":")[2],
                "--node",
                node["caller_address"],
                "--slots",
                str(options.get("slots", 20)),
                "--mean-ms",
                str(options.get("mean_ms", 0)),
                "--sigma",
                str(options.get("sigma", 1.0)),
                "--seed",
                str(number),
            ],
        )
        self.backends[host] = process
        process.start()

    def start_node(self, host):
        """Start the node of `host`, again if it ended."""
        path = self._write(f"node-{host}", self.settings[host])
        process = self._process(f"node-{host}", [*self._node_module, path])
        self.nodes[host] = process
        process.start()

    async def ready(self, host):
        """Wait until the node and the backend server of `host` listen."""
        node = self.settings[host]
        await self.backends[host].listening(node["backend"]["address"])
        await self.nodes[host].listening(node["operator_address"])

    def _process(self, name, arguments):
        return Process(name, arguments, self._directory.name)

    def _write(self, name, document):
        path = Path(self._directory.name) / f"{name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")
        return str(path)

    async def until(self, condition, seconds=READY_SECONDS, what="condition"):
        """Wait until ``await condition()`` is true."""
        limit = deadline_after(seconds)
        while not await condition():
            if now() > limit:
                raise CaperstackError("did not come true in time", step="wait", peer=what)
            await asyncio.sleep(POLL_SECONDS)

    async def settled(self):
        """Wait until every node holds every subtree and knows every host."""

        async def condition():
            for host, process in self.nodes.items():
                if not process.running:
                    continue
                members = (await self.operator(host, "/members"))["members"]
                held = (await self.operator(host, "/settings"))["subtrees"]
                good = {subtree["path"] for subtree in held if subtree["revision"] >= 0}
                if len(members) < len(self.settings) or not good >= set(self._subtrees):
                    return False
            return True

        await self.until(condition, what="settings and members everywhere")

    # -- what one does with a fleet ---------------------------------------

    def caller_address(self, host):
        """Return the address of a node's callers' port."""
        return self.settings[host]["caller_address"]

    async def operator(self, host, path):
        """Return the JSON that a node's operator port gives."""
        reply = await request(self.settings[host]["operator_address"], "GET", path)
        return json.loads(reply.body)

    async def control(self, host, **faults):
        """Set troubles of the backend server of `host`."""
        address = self.settings[host]["backend"]["address"]
        return await request(address, "POST", "/control", body=json.dumps(faults).encode())

    async def platform_request(self, name, method, path, document=None):
        """Send a request to a platform stand-in; return the decoded answer."""
        body = b"" if document is None else json.dumps(document).encode()
        reply = await request(self.platform[name][0], method, path, body=body)
        return json.loads(reply.body or b"null")

    async def ledgers(self):
        """Return the ledger of each running backend server, by host."""
        found = {}
        for host, process in self.backends.items():
            if process.running:
                address = self.settings[host]["backend"]["address"]
                reply = await request(address, "GET", "/ledger")
                found[host] = json.loads(reply.body)
        return found

    async def stop(self):
        """Drain the nodes, end the stand-ins; return the nodes' exit statuses."""
        statuses = {}
        for process in self.nodes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        try:
            for host, process in self.nodes.items():
                statuses[host] = await process.ended()
        finally:
            self.kill_all()
        return statuses

    def kill_all(self):
        """End every process that was started here."""
        platform = [process for _, process in self.platform.values()]
        for process in (*self.nodes.values(), *self.backends.values(), *platform):
            process.kill()
        self._directory.cleanup()

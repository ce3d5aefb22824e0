"""Start nodes and stand-ins as real processes on loopback, for the demo, benchmarks and tests."""

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

#: Ports below the range from which the system takes those of outgoing connections.
#: They are divided into slices by process id, so that fleets in different processes rarely collide.
FIRST_PORT = 12_000
PORTS_PER_SLICE = 500
PORT_SLICES = 40

#: The option of prctl(2) that sets the signal sent on the parent's death, from linux/prctl.h.
PR_SET_PDEATHSIG = 1

_ports = itertools.count()


def free_addresses(count):
    """Return `count` loopback addresses on which no process listens."""
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
    """Return the start settings of a node on free ports, as a dict with `changes` applied."""
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
    # A killed benchmark cannot stop its processes; they would run on and distort the
    # figures of the next one.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A child process whose output goes to a file.

    Parameters
    ----------
    name : str
        The name of the process and of its log file.
    arguments : list of str
        The module to run and its arguments.
    directory : str
        Where the log file is written.
    """

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
        """Whether the process was started and has not exited."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def output(self):
        """The text that the process has written to stdout and stderr."""
        return self._path.read_text(encoding="utf-8", errors="replace")

    def start(self):
        """Start the process."""
        with open(self._path, "ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                stdout=log,
                stderr=log,
                preexec_fn=_kill_with_parent,
            )

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.running:
            self._popen.send_signal(number)

    async def ended(self):
        """Wait until the process exits; return the exit status.

        Raises
        ------
        CaperstackError
            If it has not exited after `STOP_SECONDS`.
        """
        limit = deadline_after(STOP_SECONDS)
        while self.running:
            if now() > limit:
                raise CaperstackError("did not exit in time", step="stop", peer=self.name)
            await asyncio.sleep(POLL_SECONDS)
        return self._popen.returncode

    def kill(self):
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        if self.running:
            self._popen.wait()

    async def listening(self, address):
        """Wait until the process accepts connections at `address`.

        Raises
        ------
        CaperstackError
            If it exits or does not listen within `READY_SECONDS`.
        """
        ip, port = split_address(address)
        limit = deadline_after(READY_SECONDS)
        while now() < limit:
            if not self.running:
                raise CaperstackError(
                    f"exited: {self.output[-2000:]}", step="start", peer=self.name
                )
            try:
                _, writer = await asyncio.open_connection(ip, port)
            except OSError:
                await asyncio.sleep(POLL_SECONDS)
                continue
            writer.close()
            return
        raise CaperstackError("does not accept connections in time", step="start", peer=self.name)

    def cpu_seconds(self):
        """Return the processor time used so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        """Return the resident memory, in bytes."""
        fields = Path(f"/proc/{self.pid}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


class Fleet:
    """Nodes with their backend servers, and stand-ins for the platform's services.

    Parameters
    ----------
    nodes : list of dict
        Start settings, as `node_settings` makes them.
    subtrees : dict
        The settings trees of the teams by path, served by the stand-in of the configuration
        service.
    backend : dict
        Options of the backend stand-ins: ``slots``, ``mean_ms``, ``sigma``.
    with_configuration, with_hosts : bool
        Whether these stand-ins run.  Without them, the start settings must suffice.
    node_module : tuple of str
        The module that runs a node, and the arguments that precede the settings path.

    Attributes
    ----------
    settings : dict of str to dict
        The start settings of each node, by host.
    nodes, backends : dict of str to Process
        The processes of the nodes and of the backend servers, by host.
    platform : dict of str to (str, Process)
        Address and process of each stand-in of the platform, by name.
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
        """Start all processes and wait until they listen."""
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
        """Return the entries of the host list, with the hosts in `leaving` marked as leaving."""
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
            # Several nodes of a benchmark may share one backend server.
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
        """Start the node of `host`, for the first time or again."""
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
        """Wait until ``await condition()`` is true.

        Parameters
        ----------
        condition : callable
            An async function of no arguments.
        seconds : float
            The longest wait, in seconds.
        what : str
            A name of the condition, for the error.

        Raises
        ------
        CaperstackError
            If the condition is still false afterwards.
        """
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

    # -- access to the running processes ----------------------------------

    def caller_address(self, host):
        """Return the address at which the node of `host` accepts callers."""
        return self.settings[host]["caller_address"]

    async def operator(self, host, path):
        """Return the decoded JSON document at `path` of the operator port of a node."""
        reply = await request(self.settings[host]["operator_address"], "GET", path)
        return json.loads(reply.body)

    async def control(self, host, **faults):
        """Set options of the backend server of `host`, such as faults; return its response."""
        address = self.settings[host]["backend"]["address"]
        return await request(address, "POST", "/control", body=json.dumps(faults).encode())

    async def platform_request(self, name, method, path, document=None):
        """Send a request to the stand-in `name`; return the decoded JSON answer."""
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
        """Drain the nodes and kill the stand-ins; return the nodes' exit statuses by host."""
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
        """Kill all processes of the fleet and delete its files."""
        platform = [process for _, process in self.platform.values()]
        for process in (*self.nodes.values(), *self.backends.values(), *platform):
            process.kill()
        self._directory.cleanup()

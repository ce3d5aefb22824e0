"""The command line of a node on the platform: ``python -m caperstack.platform``."""

import argparse
import asyncio
import os
import signal
import sys

from caperstack import __version__
from caperstack.clock import deadline_after
from caperstack.events.log import LogWriter
from caperstack.exception import CaperstackError
from caperstack.node.collector import configure_garbage_collector
from caperstack.node.drain import DrainPlan, drain
from caperstack.platform.assemble import assemble
from caperstack.platform.boot import boot_path, read_boot
from caperstack.platform.names import BOOT_VARIABLE

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
STANDARD_OUTPUT = 1

#: The interval between checks of the file of the start settings, in seconds.  The file may
#: change without a signal to the node.
RELOAD_SECONDS = 1.0

#: How long a stopping node still accepts callers, and calls for its backend server, in
#: seconds.  The platform checks readiness each second and redirects callers only after two
#: failed checks.
OPEN_SECONDS = 2.6


def _parser():
    parser = argparse.ArgumentParser(
        prog="python -m caperstack.platform",
        description=(
            "Run a node of the load balancer beside one backend server of the platform. The "
            f"environment variable {BOOT_VARIABLE} names the file of its start settings. SIGTERM "
            "drains and stops the node; SIGHUP makes it read the file again."
        ),
    )
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    parser.add_argument(
        "--metrics-port",
        type=int,
        help="port of the metrics; by default the second of the port range",
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    return parser


class _Reloader:
    """Reads the start settings again when they change."""

    def __init__(self, path, kernel, here):
        self._path = path
        self._kernel = kernel
        self._here = here
        self._seen = self._stamp()

    def _stamp(self):
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino

    async def run(self):
        """Check the file once per second until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            stamp = self._stamp()
            if stamp != self._seen:
                self._seen = stamp
                self.reload("settings changed")

    def reload(self, cause):
        """Apply what may change at run time: the backend server's address and service."""
        events = self._kernel.find("events")
        try:
            new = read_boot(self._path).here
        except CaperstackError as error:
            events.log_state(
                "reload", cause=cause, outcome=f"refused, the last good stays: {error}"
            )
            return
        backend = self._here.backend
        changed = (backend.address, backend.service) != (new.backend.address, new.backend.service)
        if new.backend.address != backend.address:
            self._kernel.find("backend client").set_address(new.backend.address)
        backend.address = new.backend.address
        backend.service = new.backend.service
        events.log_state("reload", cause=cause, outcome="changed" if changed else "same")


async def _serve(boot, path, log):
    stopping = asyncio.Event()
    kernel = assemble(boot, log)
    reloader = _Reloader(path, kernel, boot.here)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload, "SIGHUP")
    await kernel.start()
    log.state("started", version=__version__, name=boot.name, service=boot.here.backend.service)
    configure_garbage_collector()
    reloading = asyncio.create_task(reloader.run())
    await stopping.wait()
    open_until = deadline_after(OPEN_SECONDS)
    await drain(
        kernel, DrainPlan(open_until, open_until, deadline_after(boot.drain_timeout_seconds))
    )
    reloading.cancel()
    await kernel.stop()
    log.state("stopped")


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    try:
        path = boot_path()
        boot = read_boot(path, options.metrics_port)
    except CaperstackError as error:
        print(f"caperstack: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        print(f"{boot.name}: settings are good")
        return 0
    asyncio.run(_serve(boot, path, LogWriter(STANDARD_OUTPUT, boot.here.host)))
    return 0


if __name__ == "__main__":
    sys.exit(main())

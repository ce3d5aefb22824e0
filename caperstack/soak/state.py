"""The state of a soak test: the fleet, and the record of faults for the checks."""

from collections import Counter
from dataclasses import dataclass, field

from caperstack.clock import now

__all__ = [
    "Change",
    "Evacuation",
    "FaultWindow",
    "RateLimitPeriod",
    "SlowReadersPeriod",
    "SoakState",
]


@dataclass
class FaultWindow:
    """A time in which a fault may affect the node of a host; infinite end while it lasts.

    Attributes
    ----------
    process : bool
        The fault affects the process of the node, not only the store.
    """

    host: str
    begin: float
    end: float = float("inf")
    process: bool = True


@dataclass(frozen=True)
class Change:
    """A change of the configuration or of the registered backend servers.

    Attributes
    ----------
    at : float
        When it was written to the store.
    subject : str
        The name of an instance that leaves, or a path whose service changes.
    value : str
        The new service of the path; empty for an instance that leaves.
    """

    at: float
    subject: str
    value: str = ""


@dataclass
class Evacuation:
    """A time in which a zone is evacuated; infinite end while it lasts."""

    zone: str
    begin: float
    end: float = float("inf")


@dataclass
class RateLimitPeriod:
    """A time in which a backend server states a rate limit; infinite end while it lasts.

    Attributes
    ----------
    host : str
        The host of the backend server.
    per_second : float
        The requests per second that it accepts.
    """

    host: str
    per_second: float
    begin: float
    end: float = float("inf")


@dataclass
class SlowReadersPeriod:
    """A time in which callers of a host's node do not read; infinite end while it lasts."""

    host: str
    begin: float
    end: float = float("inf")


@dataclass
class SoakState:
    """A fleet on the stand-ins of the platform, and what happened to it.

    Attributes
    ----------
    began : float
        When the soak test began, on the monotonic clock in seconds.
    faults : Counter
        How often each fault was injected.
    windows : list of FaultWindow
        When faults may have affected nodes.
    departures : list of Change
        The instances that left.
    stated_departures : list of Change
        The instances that stated in their answers that they were leaving.
    rate_limits : list of RateLimitPeriod
        The rate limits that backend servers stated in their answers.
    configurations : list of Change
        The services that paths were moved to.
    problems : list of str
        Failures of the nodes themselves, such as a bad exit status.
    fatal : list of str
        The request targets that crash every server which runs them.
    requests : list of caperstack.soak.client.RequestRecord
        The requests sent by faults.
    kill_all_times : list of float
        When all nodes were killed at once, which loses all state held in their memory.
    evacuations : list of Evacuation
        The zones that must get no new calls, and when.
    slow_readers : list of SlowReadersPeriod
        The hosts at which callers stopped reading their answers, and when.
    """

    fleet: object
    rng: object
    began: float
    windows: list = field(default_factory=list)
    departures: list = field(default_factory=list)
    configurations: list = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    problems: list = field(default_factory=list)
    fatal: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    kill_all_times: list = field(default_factory=list)
    evacuations: list = field(default_factory=list)
    stated_departures: list = field(default_factory=list)
    rate_limits: list = field(default_factory=list)
    slow_readers: list = field(default_factory=list)

    def print_progress(self, text):
        """Print `text` with the time since the start of the run."""
        print(f"  {now() - self.began:7.2f} s: {text}", flush=True)

    def random_host(self):
        """Return a random host."""
        return self.rng.choice(self.fleet.hosts)

    def evacuate(self, zone):
        """Record that a zone is evacuated from now on, and return the `Evacuation`."""
        evacuation = Evacuation(zone, now())
        self.evacuations.append(evacuation)
        return evacuation

    def open_window(self, host, process=True):
        """Record that a fault affects the node of `host` from now on; return the `FaultWindow`."""
        window = FaultWindow(host.ip, now(), process=process)
        self.windows.append(window)
        return window

    def fault_active(self, begin, end, host=None, store=True):
        """Return whether a fault affected the node of `host`, or any node, between two times.

        Faults of the store count only if `store` is true.
        """
        return any(
            window.begin <= end and begin <= window.end
            for window in self.windows
            if host in (None, window.host) and (store or window.process)
        )

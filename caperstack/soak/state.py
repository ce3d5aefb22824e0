"""What the faults of a soak act on, and what they note for the judge."""

from collections import Counter
from dataclasses import dataclass, field

from caperstack.clock import now

__all__ = ["Change", "Evacuation", "FaultWindow", "SoakState"]


@dataclass
class FaultWindow:
    """A time in which a host's node was not itself; an open one has no end.

    Attributes
    ----------
    process : bool
        The node's own process was in trouble, not only the store.
    """

    host: str
    begin: float
    end: float = float("inf")
    process: bool = True


@dataclass(frozen=True)
class Change:
    """Something that holds from a moment on.

    Attributes
    ----------
    at : float
        When the store had it.
    subject : str
        The name of an instance that leaves, or of a path whose service changes.
    value : str
        The service; empty for an instance that leaves.
    """

    at: float
    subject: str
    value: str = ""


@dataclass
class Evacuation:
    """The time for which a zone is evacuated; an open one has no end."""

    zone: str
    begin: float
    end: float = float("inf")


@dataclass
class SoakState:
    """A fleet on the platform's stand-ins under trouble.

    Attributes
    ----------
    fatal : list of str
        The targets that end the servers which run them.
    requests : list of caperstack.soak.client.RequestRecord
        The requests that faults have made.
    kill_all_times : list of float
        When all nodes ended at once, and with them all that they remembered.
    evacuations : list of Evacuation
        The zones that were to get no new calls, and when.
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

    def print_progress(self, text):
        """Tell what happens now, for whoever reads the run."""
        print(f"  {now() - self.began:7.2f} s: {text}", flush=True)

    def random_host(self):
        """Return a host at random."""
        return self.rng.choice(self.fleet.hosts)

    def evacuate(self, zone):
        """Note that a zone is evacuated from now on; return the `Evacuation`."""
        evacuation = Evacuation(zone, now())
        self.evacuations.append(evacuation)
        return evacuation

    def open_window(self, host, process=True):
        """Note that the node of `host` is not itself from now on; return the `FaultWindow`."""
        window = FaultWindow(host.ip, now(), process=process)
        self.windows.append(window)
        return window

    def fault_active(self, begin, end, host=None, store=True):
        """Return whether a node, that of `host` or any, was not itself between two moments.

        Without `store` its process alone counts.
        """
        return any(
            window.begin <= end and begin <= window.end
            for window in self.windows
            if host in (None, window.host) and (store or window.process)
        )

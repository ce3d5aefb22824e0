"""The open connections over which settings are exchanged, by host."""

from caperstack.exception import PeerError

__all__ = ["SettingsConnections"]


class SettingsConnections:
    """The connections to each host, whoever dialled them; the newest one is used.

    Notes
    -----
    Two nodes have a connection each way.  Failure: a host's backend server
    leaves, peers close their links to it, and the one that the host itself
    has dialled is forgotten with them; its callers get the old routes for
    seconds after a change, since nobody tells it any more.
    """

    def __init__(self):
        self._open = {}
        self._metrics = None

    def set_metrics(self, metrics):
        """Count what could not be sent in `metrics`."""
        self._metrics = metrics

    @property
    def hosts(self):
        """The hosts that are connected, a list."""
        return list(self._open)

    def to(self, host):
        """Return the connections to `host`, a list; the newest is the last."""
        return list(self._open.get(host, ()))

    def add(self, host, connection):
        """Note a connection that is up."""
        self._open.setdefault(host, []).append(connection)

    def drop_closed(self, host):
        """Forget the connections to `host` that are closed; return whether one is left."""
        left = [connection for connection in self._open.get(host, ()) if not connection.closed]
        self._open[host] = left
        if not left:
            del self._open[host]
        return bool(left)

    def send(self, host, message):
        """Send a message over the newest connection to `host`, if there is one."""
        connections = self._open.get(host)
        if connections:
            self.send_over(connections[-1], message)

    def send_over(self, connection, message):
        """Send a message; one that cannot be sent is counted, a digest makes up for it."""
        try:
            connection.send(message)
        except PeerError:
            self._metrics.count("unsent_notices")

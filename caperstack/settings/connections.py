"""Track the open connections over which settings are exchanged, by host."""

from caperstack.exception import PeerError

__all__ = ["SettingsConnections"]


class SettingsConnections:
    """Hold the connections to each host, dialled by either side; the newest one is used.

    Notes
    -----
    Two nodes may each have dialled the other, so each connection is tracked.  When the
    backend server of a host leaves, peers close the links that they dialled to it,
    while the connections dialled by that host stay open.  If these were dropped too,
    the host would no longer be notified of changes and its callers would get the old
    routes for seconds.
    """

    def __init__(self):
        self._open = {}
        self._metrics = None

    def set_metrics(self, metrics):
        """Set the `metrics` that count messages which could not be sent."""
        self._metrics = metrics

    @property
    def hosts(self):
        """The connected hosts, a list."""
        return list(self._open)

    def to(self, host):
        """Return the connections to `host`, a list ordered from oldest to newest."""
        return list(self._open.get(host, ()))

    def add(self, host, connection):
        """Add an open connection to `host`."""
        self._open.setdefault(host, []).append(connection)

    def drop_closed(self, host):
        """Remove the closed connections to `host` and return whether any is left."""
        left = [connection for connection in self._open.get(host, ()) if not connection.closed]
        self._open[host] = left
        if not left:
            del self._open[host]
        return bool(left)

    def send(self, host, message):
        """Send a message over the newest connection to `host`, if there is any."""
        connections = self._open.get(host)
        if connections:
            self.send_over(connections[-1], message)

    def send_over(self, connection, message):
        """Send a message, or count it as unsent.

        An unsent message is not repeated: a later digest reveals the difference.
        """
        try:
            connection.send(message)
        except PeerError:
            self._metrics.count("unsent_notices")

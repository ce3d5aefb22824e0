"""The HTTP interface for operators: metrics, health, events, members and settings in force."""

import json

from caperstack.operators.pages import Page, PagePort

__all__ = ["OperatorPort"]


def _json_page(document, status=200):
    return Page(json.dumps(document).encode(), status, {"Content-Type": "application/json"})


def _argument(request, name, default=""):
    values = request.query_arguments.get(name)
    return values[-1].decode("utf-8", "replace") if values else default


class OperatorPort:
    """The read-only HTTP interface of one node for operators.

    Parameters
    ----------
    here : object
        The start settings of this node.
    """

    def __init__(self, here):
        self.here = here
        self._port = None

    async def start(self, kernel):
        """Look up the services that this one uses and start listening."""
        self.metrics = kernel.find("metrics")
        self.events = kernel.find("events")
        self._members = kernel.find("members")
        self._settings = kernel.find("settings")
        self._owner = kernel.find("owner")
        self._callers = kernel.find("callers")
        self._peers = kernel.find("peer port")
        self._dispatcher = kernel.find("dispatcher")
        self._port = PagePort(
            self.here.operator_address,
            {
                "/metrics": self._metrics_page,
                "/health": self._health_page,
                "/events": self._events_page,
                "/members": lambda _: _json_page({"members": self.member_documents()}),
                "/settings": self._settings_page,
            },
        )
        self._port.listen()

    async def stop(self):
        """Stop listening."""
        await self._port.close()

    def _metrics_page(self, request):
        body, headers = self.metrics.render(request.headers.get_list("Accept"))
        return Page(body, 200, dict(headers))

    def _health_page(self, _request):
        document = self.health()
        return _json_page(document, 200 if document["serving"] else 503)

    def _events_page(self, request):
        after = _argument(request, "after", "0")
        if not after.isdigit():
            return _json_page({"field": "after", "reason": "not a whole number"}, 400)
        events = self.events.since(
            int(after), _argument(request, "request_id"), _argument(request, "service")
        )
        return _json_page({"host": self.here.host, "events": events})

    def _settings_page(self, _request):
        return _json_page({"host": self.here.host, "subtrees": self.settings_documents()})

    def health(self):
        """Return the node's status, its load and its connected peers as a dict."""
        load = self._owner.load
        return {
            "host": self.here.host,
            "zone": self.here.zone,
            "service": self.here.backend.service,
            "serving": not self._callers.draining,
            "in_flight": load.in_flight,
            "queued": load.queued,
            "limit": load.limit,
            "service_ms": load.service_us / 1000,
            "state": load.state,
            "peers": self._peers.peers,
        }

    def member_documents(self):
        """Return a list of dicts, one per member, with its state as known to this node."""
        return [
            {
                "host": member.host,
                "zone": member.zone,
                "service": member.service,
                "incarnation": member.incarnation,
                "leaving": member.leaving,
                "usable": member.owner.usable,
                "ejected": member.estimate.ejected,
                "state": member.estimate.state,
                "in_flight": member.estimate.in_flight,
                "expected_ms": self._expected_ms(member),
            }
            for member in self._members.all()
        ]

    def _expected_ms(self, member):
        baseline = self._dispatcher.baseline_seconds(member.service)
        return round(member.estimate.expected_seconds(baseline) * 1000, 3)

    def settings_documents(self):
        """Return a list of dicts, one per subtree: revision in force, source, last refusal."""
        return [
            {
                "path": held.path,
                "revision": held.revision,
                "deleted": held.deleted,
                "since_us": held.since_us,
                "source": held.source,
                "refused_revision": held.refused_revision,
                "refused_reason": held.refused_reason,
                "problems": held.problems,
            }
            for held in self._settings.held()
        ]

"""The operator's port: metrics, health, events, members and settings in force."""

import json

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from caperstack.addresses import split_address

__all__ = ["OperatorPort"]


class _Handler(RequestHandler):
    def initialize(self, port):
        self.port = port

    def answer(self, document):
        """Write `document` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(document))


class _Metrics(_Handler):
    def get(self):
        body, headers = self.port.metrics.render(self.request.headers.get_list("Accept"))
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(body)


class _Health(_Handler):
    def get(self):
        document = self.port.health()
        self.set_status(200 if document["serving"] else 503)
        self.answer(document)


class _Events(_Handler):
    def get(self):
        after = self.get_query_argument("after", "0")
        if not after.isdigit():
            self.set_status(400)
            self.answer({"field": "after", "reason": "not a whole number"})
            return
        events = self.port.events.since(
            int(after),
            self.get_query_argument("request_id", ""),
            self.get_query_argument("service", ""),
        )
        self.answer({"host": self.port.here.host, "events": events})


class _Members(_Handler):
    def get(self):
        self.answer({"members": self.port.members_in_words()})


class _Settings(_Handler):
    def get(self):
        self.answer({"host": self.port.here.host, "subtrees": self.port.settings_in_words()})


class OperatorPort:
    """What an operator can read of one node; nothing can be changed here."""

    def __init__(self, here):
        self.here = here
        self._server = None

    async def start(self, kernel):
        """Listen."""
        self.metrics = kernel.find("metrics")
        self.events = kernel.find("events")
        self._members = kernel.find("members")
        self._settings = kernel.find("settings")
        self._owner = kernel.find("owner")
        self._callers = kernel.find("callers")
        self._peers = kernel.find("peer port")
        self._dispatcher = kernel.find("dispatcher")
        routes = {
            "/metrics": _Metrics,
            "/health": _Health,
            "/events": _Events,
            "/members": _Members,
            "/settings": _Settings,
        }
        application = Application(
            [(path, handler, {"port": self}) for path, handler in routes.items()],
            log_function=lambda handler: None,
        )
        self._server = HTTPServer(application)
        ip, port = split_address(self.here.operator_address)
        self._server.listen(port, ip)

    async def stop(self):
        """Close the port."""
        self._server.stop()
        await self._server.close_all_connections()

    def health(self):
        """Return whether this node serves, and its load, as a dict."""
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

    def members_in_words(self):
        """Return what this node believes of each member, a list of dicts."""
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
        usual = self._dispatcher.usual_seconds(member.service)
        return round(member.estimate.expected_seconds(usual) * 1000, 3)

    def settings_in_words(self):
        """Return what is in force, since when, from whom, and what was refused."""
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

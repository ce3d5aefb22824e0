"""Membership and owner settings follow changes of backend server entries and configuration."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from caperstack.config.node import Backend, NodeSettings
from caperstack.membership.members import Members
from caperstack.platform.boot import ColdBound
from caperstack.platform.fleet import FleetView
from caperstack.platform.items import StoreCodec
from caperstack.platform.names import CONFIGURATION_KEY
from caperstack.settings.store import SettingsStore


def document(host, **changes):
    """Return the document in which nodes exchange the entry of a backend server."""
    values = {
        "service": "s",
        "address": f"{host}:8000",
        "zone": "a",
        "slots": 8,
        "state": "ready",
        "created": 1,
        "born_ms": 5,
    }
    return values | changes


def configuration(*services):
    """Return a configuration that defines `services`."""
    return {
        "version": 1,
        "routes": {"columns": ["name"], "rows": []},
        "services": {
            "columns": ["name", "healthPath", "maxConnections"],
            "rows": [[name, "/health", 10] for name in services],
        },
        "limits": {"maxBodyBytes": 100, "idleTimeout": "9s"},
    }


class TestFleetView(unittest.IsolatedAsyncioTestCase):
    """`FleetView` of the node beside the backend server at 10.0.0.1."""

    async def asyncSetUp(self):
        peer = "10.0.0.1:7600"
        here = NodeSettings("10.0.0.1", "a", "r", peer, peer, peer, Backend("", "s", 8, 1.0, 1))
        self.settings = SettingsStore(StoreCodec())
        self.members = Members(here)
        self.owner = mock.Mock()
        self.events = mock.Mock()
        services = {
            "events": self.events,
            "metrics": mock.Mock(),
            "settings": self.settings,
            "members": self.members,
            "owner": self.owner,
        }
        kernel = SimpleNamespace(find=services.__getitem__)
        for service in (self.settings, self.members, FleetView(here, ColdBound(1.5, 8.0))):
            await service.start(kernel)
        self.revision = 0

    async def put(self, instance, content):
        self.take(f"servers/{instance}", content)
        await asyncio.sleep(0)

    def take(self, path, content):
        self.revision += 1
        self.settings.take(path, self.revision, content, "store")

    def hosts(self):
        return sorted(member.host for member in self.members.all())

    async def test_removed_entry_removes_its_member(self):
        await self.put("i2", document("10.0.0.2"))
        self.assertEqual(self.hosts(), ["10.0.0.1", "10.0.0.2"])
        await self.put("i2", None)
        self.assertEqual(self.hosts(), ["10.0.0.1"])

    async def test_reused_address_belongs_to_the_entry_with_the_later_start(self):
        # A backend server stops and a server of another service gets its address before
        # the old entry is removed. Changes to the old entry and its removal must not
        # affect the new member.
        await self.put("old", document("10.0.0.2"))
        await self.put("new", document("10.0.0.2", service="t", born_ms=9))
        self.assertEqual(self.members.find("10.0.0.2").service, "t")
        await self.put("old", document("10.0.0.2", state="draining"))
        self.assertFalse(self.members.find("10.0.0.2").leaving)
        await self.put("old", None)
        self.assertEqual(self.members.find("10.0.0.2").service, "t")

    async def test_address_reverts_to_the_older_entry_when_the_newer_one_is_removed(self):
        await self.put("old", document("10.0.0.2"))
        await self.put("new", document("10.0.0.2", service="t", born_ms=9))
        await self.put("new", None)
        self.assertEqual(self.members.find("10.0.0.2").service, "s")

    async def test_entry_with_a_new_address_removes_the_member_at_the_old_one(self):
        await self.put("i2", document("10.0.0.2"))
        await self.put("i2", document("10.0.0.3", born_ms=9))
        self.assertEqual(self.hosts(), ["10.0.0.1", "10.0.0.3"])

    async def test_entry_of_an_unconfigured_service_is_no_member_until_it_is_configured(self):
        self.take(CONFIGURATION_KEY, configuration("s"))
        await self.put("i2", document("10.0.0.2", service="t"))
        await self.put("i2", document("10.0.0.2", service="t", slots=9))
        self.assertEqual(self.hosts(), ["10.0.0.1"])
        logged = [
            call for call in self.events.log_state.mock_calls if call.args == ("foreign entry",)
        ]
        self.assertEqual(len(logged), 1)
        self.take(CONFIGURATION_KEY, configuration("s", "t"))
        await asyncio.sleep(0)
        self.assertEqual(self.hosts(), ["10.0.0.1", "10.0.0.2"])

    async def test_cold_limit_is_computed_from_the_configuration_and_the_bound(self):
        limits = configuration("s")
        limits["services"] = {
            "columns": ["name", "healthPath", "maxConnections", "cold", "coldPerS"],
            "rows": [["s", "/health", 10, "3s", 6.5]],
        }
        self.take(CONFIGURATION_KEY, limits)
        await self.put("i1", document("10.0.0.1"))
        self.owner.set_cold_limit.assert_called_with(17.75, 3.0)

    async def test_service_without_a_cold_rate_has_no_cold_limit(self):
        """Guards against a missing rate, or a rate of 0, being taken for a limit of no requests."""
        for rate in (None, 0):
            limits = configuration("s")
            limits["services"]["columns"].append("coldPerS")
            limits["services"]["rows"][0].append(rate)
            self.take(CONFIGURATION_KEY, limits)
            await self.put("i1", document("10.0.0.1"))
            self.owner.set_cold_limit.assert_called_with(0.0, 0.0)

    async def test_removal_of_the_own_entry_unlists_the_owner(self):
        await self.put("i1", document("10.0.0.1"))
        self.owner.assign.assert_called_once_with("i1", "s", 5)
        self.owner.set_listed.assert_called_with(False)
        self.take(CONFIGURATION_KEY, configuration("s"))
        await asyncio.sleep(0)
        self.owner.set_listed.assert_called_with(True)
        await self.put("i1", None)
        self.owner.set_listed.assert_called_with(False)


if __name__ == "__main__":
    unittest.main()

"""Entries of backend servers: validation, foreign entries and the order of a server's starts."""

import copy
import json
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from caperstack.addresses import split_address
from caperstack.exception import ConfigurationError
from caperstack.platform.entries import ServerEntry, decode_entry
from caperstack.platform.items import StoreCodec
from caperstack.platform.store import StoreItem, StoreRead
from caperstack.platform.tests.readercase import BORN_MS, FLEET, ReaderCase, server_document


def decoded(document, key="servers/i-1"):
    """Return the `ServerEntry` for a document stored under `key`."""
    return StoreCodec().parse(key, decode_entry(key, json.dumps(document).encode(), 7))


def valid_entries():
    """Return the stored bytes of three valid entries, by key."""
    return {f"servers/i-{n}": json.dumps(server_document(n)).encode() for n in range(3)}


class TestDecoding(unittest.TestCase):
    """`decode_entry` and `parse_entry`."""

    def test_entry_fields_are_decoded(self):
        entry = decoded(server_document())
        host = FLEET.hosts[0]
        self.assertEqual((entry.instance, entry.service), ("i-1", "slots"))
        self.assertEqual((entry.host, entry.zone, entry.slots), (host.ip, host.zone, 8))
        self.assertEqual((entry.leaving, entry.born_ms, entry.created), (False, BORN_MS, 7))

    def test_heartbeat_does_not_change_the_entry(self):
        first, second = server_document(), server_document()
        second["status"]["sequence"] = 99
        values = [decode_entry("servers/i", json.dumps(d).encode(), 1) for d in (first, second)]
        self.assertEqual(*values)

    def test_new_start_under_the_same_name_is_a_change(self):
        values = [server_document(born=born) for born in (BORN_MS, BORN_MS + 1)]
        documents = [decode_entry("servers/i", json.dumps(v).encode(), 1) for v in values]
        self.assertNotEqual(*documents)

    def test_entries_without_start_time_are_accepted(self):
        document = server_document()
        del document["born"]
        self.assertEqual(decoded(document).born_ms, 0)

    def assert_foreign(self, document, part):
        with self.assertRaises(ConfigurationError) as caught:
            decoded(document)
        self.assertIn(part, str(caught.exception))

    def test_missing_fields_are_foreign(self):
        for name in ("address", "info", "status"):
            document = server_document()
            del document[name]
            self.assert_foreign(document, name)
        for place, names in (
            ("info", ("service", "version", "zone", "slots")),
            ("status", ("state", "sequence", "coldLeft")),
        ):
            for name in names:
                document = server_document()
                del document[place][name]
                self.assert_foreign(document, name)

    def test_fields_of_another_type_are_foreign(self):
        cases = {
            "born": (None, "1790000000000", 1.5, 1.79e12, True, 0, -5, 10**30, []),
            "address": (
                None,
                5,
                "",
                "10.0.0.1",
                "host:80",
                "10.0.0.1:0",
                "10.0.0.1:８０",
                "[::1]:80",
            ),
            "info": (None, [], "x", {}),
            "status": (None, [], {}),
        }
        for name, values in cases.items():
            for value in values:
                self.assert_foreign(server_document(**{name: value}), "")

    def test_invalid_slots_state_and_cold_time_are_foreign(self):
        cases = {
            ("info", "slots"): (0, -1, 2.0, "8", True, 10**30, None),
            ("status", "state"): ("dancing", "", None, 1, "READY"),
            ("status", "coldLeft"): ("soon", 5, "infs", "nanms", None),
            ("status", "sequence"): ("1", None, 1.5),
        }
        for (place, name), values in cases.items():
            for value in values:
                document = server_document()
                document[place][name] = value
                self.assert_foreign(document, "")

    def test_undecodable_values_are_refused(self):
        for value in (None, b"", b"{", b"\xff\xfe", b"null", b"[" * 100_000, b'{"a":NaN}'):
            with self.assertRaises(ConfigurationError):
                decode_entry("servers/i", value, 1)

    def test_keys_without_a_valid_instance_are_refused(self):
        value = json.dumps(server_document()).encode()
        for key in ("servers/", "servers/a b", "servers/a\r\nX: y", "servers/é", "servers/a/b"):
            with self.assertRaises(ConfigurationError):
                decode_entry(key, value, 1)

    def test_documents_from_peers_are_validated(self):
        for document in ({}, [], None, {"service": "s"}, {"address": 5}):
            with self.assertRaises(ConfigurationError):
                StoreCodec().parse("servers/i", document)


class TestForeignEntries(ReaderCase):
    """Entries of other writers add no server and do not affect the entries of others."""

    def test_overwritten_entry_is_deleted_until_the_next_heartbeat(self):
        # Another writer overwrites the entry of one server; the entries of the others must
        # not be affected.
        self.read(valid_entries())
        self.read(valid_entries() | {"servers/i-1": b'{"state":"ready"}'})
        self.assertIsNone(self.entry("servers/i-1"))
        self.assertEqual(self.entry("servers/i-2").service, "rates")
        self.read(valid_entries())
        self.assertEqual(self.entry("servers/i-1").service, "slots")

    def test_foreign_entries_are_logged_once(self):
        for _ in range(5):
            self.read(valid_entries() | {"servers/x": None, "servers/y": b"\x00"})
        self.assertEqual([key for key, _ in self.foreign_lines()], ["servers/x", "servers/y"])
        self.assertIn("base64", self.foreign_lines()[0][1])

    def test_entry_without_start_time_is_foreign_if_others_have_one(self):
        document = server_document(1)
        del document["born"]
        self.read(valid_entries() | {"servers/x": json.dumps(document).encode()})
        self.assertIsNone(self.entry("servers/x"))
        self.assertEqual(self.foreign_lines(), [("servers/x", "born: missing")])

    def test_single_entry_with_start_time_makes_no_other_foreign(self):
        documents = {key: json.loads(value) for key, value in valid_entries().items()}
        for document in documents.values():
            del document["born"]
        values = {key: json.dumps(document).encode() for key, document in documents.items()}
        self.read(values | {"servers/x": json.dumps(server_document(0)).encode()})
        for key in values:
            self.assertIsNotNone(self.entry(key))

    def assert_affects_no_other(self, values):
        """Assert that none of the `values`, by name, under a key affects the other entries."""
        for name, value in values.items():
            with self.subTest(name):
                self.reset()
                self.read(valid_entries() | {"servers/x": value})
                for key in valid_entries():
                    self.assertEqual(self.entry(key).slots, 8)

    def test_deeply_nested_entry_affects_no_other(self):
        """Guards against a node that follows the entries no more for one that is nested."""
        document = json.dumps(server_document(1) | {"new": 0, "info": 1})
        for depth in (10, 100, 500, 900, 1000, 1100, 5000, 100_000):
            nested = "[" * depth + "]" * depth
            objects = '{"a":' * depth + "1" + "}" * depth
            values = {
                "whole": nested,
                "objects": objects,
                "unknown field": json.dumps(server_document(1) | {"new": 0}).replace(
                    "0}", nested + "}"
                ),
                "known field": document.replace('"info": 1', f'"info": {objects}'),
                "cut": "[" * depth,
            }
            self.assert_affects_no_other(
                {(name, depth): value.encode() for name, value in values.items()}
            )

    def test_number_that_is_too_large_affects_no_other(self):
        """Guards against a node that follows the entries no more for one number."""
        document = json.dumps(server_document(1))
        numbers = ("9" * 20, "9" * 400, "9" * 5000, "1e400", "-1e400", "1e-400", "NaN", "Infinity")
        values = {}
        for number in numbers:
            for field in (f'"born": {BORN_MS + 1}', '"slots": 8', '"sequence": 1'):
                name = field.partition(":")[0]
                values[name, number[:30]] = document.replace(field, f"{name}: {number}").encode()
            cold = document.replace('"0ms"', f'"{number}s"')
            values["coldLeft", number[:30]] = cold.encode()
        self.assertNotIn(document.encode(), values.values())
        self.assert_affects_no_other(values)

    def test_port_out_of_range_affects_no_other(self):
        """Guards against a node that ends as it connects to a port that does not exist."""
        ports = (
            "0",
            "-1",
            "65536",
            "99999",
            "9" * 30,
            "9" * 5000,
            "",
            "8e3",
            "\u0668\u0660",
            "80 ",
        )
        for port in ports:
            document = server_document(1, address=f"127.0.0.12:{port}")
            self.assert_affects_no_other({port[:30]: json.dumps(document).encode()})
            self.assertIsNone(self.entry("servers/x"))

    mutations = st.lists(
        st.tuples(
            st.sampled_from(
                [
                    ("address",),
                    ("born",),
                    ("info",),
                    ("status",),
                    ("info", "service"),
                    ("info", "slots"),
                    ("info", "zone"),
                    ("info", "version"),
                    ("status", "state"),
                    ("status", "sequence"),
                    ("status", "coldLeft"),
                ]
            ),
            st.one_of(
                st.just("remove"),
                st.none(),
                st.booleans(),
                st.integers(),
                st.integers(min_value=2**62, max_value=2**80),
                st.floats(allow_nan=False, allow_infinity=False),
                st.text(max_size=20),
                st.lists(st.integers(), max_size=3),
                st.dictionaries(st.text(max_size=5), st.integers(), max_size=2),
            ),
        ),
        min_size=1,
        max_size=3,
    )
    cuts = st.one_of(st.none(), st.binary(max_size=40), st.integers(min_value=0, max_value=200))
    keys = st.one_of(st.just("i-1"), st.text(max_size=12))

    @settings(max_examples=2500, deadline=None, suppress_health_check=[HealthCheck.too_slow])
    @given(mutations, cuts, keys)
    def test_mutated_entry_does_not_affect_other_entries(self, mutations, cut, name):
        self.reset()
        self.read(valid_entries())
        key = f"servers/{name}"
        value = mutated(server_document(1), mutations, cut)
        self.read(valid_entries() | {key: value})
        for other in valid_entries().keys() - {key}:
            self.assertEqual(self.entry(other).slots, 8)
        entry = self.entry(key)
        if entry is not None:
            self.assert_matches_document(entry, json.loads(value))

    def assert_matches_document(self, entry, document):
        self.assertIsInstance(entry, ServerEntry)
        self.assertEqual(entry.address, document["address"])
        self.assertEqual(entry.service, document["info"]["service"])
        self.assertIn(document["status"]["state"], ("ready", "draining"))
        self.assertIs(type(entry.slots), int)
        self.assertGreater(entry.slots, 0)
        split_address(entry.address)


def mutated(document, mutations, cut):
    """Return the bytes of `document` with fields changed, then cut or replaced."""
    document = copy.deepcopy(document)
    for path, value in mutations:
        place = document
        for name in path[:-1]:
            place = place.get(name) if isinstance(place, dict) else None
        if not isinstance(place, dict):
            continue
        if value == "remove":
            place.pop(path[-1], None)
        else:
            place[path[-1]] = value
    data = json.dumps(document).encode()
    if isinstance(cut, bytes):
        return cut
    return data if cut is None else data[:cut]


class TestStartTimes(ReaderCase):
    """The latest start of a server is current, whether the store or a peer reports it."""

    def write(self, born, state="ready", number=1):
        document = server_document(number, born=born)
        document["status"]["state"] = state
        self.read(valid_entries() | {"servers/i-1": json.dumps(document).encode()})

    def test_new_start_clears_the_draining_state(self):
        self.write(BORN_MS + 5, "draining")
        self.assertTrue(self.entry("servers/i-1").leaving)
        self.write(BORN_MS + 9)
        self.assertFalse(self.entry("servers/i-1").leaving)
        self.assertEqual(self.entry("servers/i-1").born_ms, BORN_MS + 9)

    def test_earlier_start_never_replaces_a_later_one(self):
        # A late write of a server's former run reaches the store after its restart, at a
        # higher revision, and a peer passes it on.
        self.write(BORN_MS + 9)
        self.write(BORN_MS + 5, "draining")
        self.assertEqual(self.entry("servers/i-1").born_ms, BORN_MS + 9)
        older = decode_entry("servers/i-1", json.dumps(server_document(1)).encode(), 1)
        self.settings.take("servers/i-1", 10_000, older, "a peer")
        self.assertEqual(self.entry("servers/i-1").born_ms, BORN_MS + 9)

    def test_earlier_start_is_refused_after_a_deletion(self):
        self.write(BORN_MS + 9)
        self.read({})
        self.assertIsNone(self.entry("servers/i-1"))
        self.write(BORN_MS + 5)
        self.assertIsNone(self.entry("servers/i-1"))

    def test_refusals_are_logged_once(self):
        self.write(BORN_MS + 9)
        for _ in range(5):
            self.write(BORN_MS + 5)
        logged = [c for c in self.events.state.call_args_list if "older than" in str(c)]
        self.assertEqual(len(logged), 1)


if __name__ == "__main__":
    unittest.main()


class TestEvacuations(ReaderCase):
    """Marks of evacuated zones in the store."""

    def read_marks(self, values, advance=10):
        self.revision += advance
        items = [StoreItem(key, value, self.revision, 1) for key, value in values.items()]
        self.reader.apply_operator_read(StoreRead(items, self.revision))

    def test_zone_is_evacuated_while_its_mark_exists(self):
        self.read_marks({"op/evacuate/a": b"{}"})
        self.assertEqual(self.settings.evacuated_zones, frozenset("a"))
        self.read_marks({})
        self.assertEqual(self.settings.evacuated_zones, frozenset())

    def test_value_of_the_mark_is_ignored(self):
        for value in (b"", b"\xff", b"[1]", b'{"zone":"b"}', None):
            self.reset()
            self.read_marks({"op/evacuate/a": value})
            self.assertEqual(self.settings.evacuated_zones, frozenset("a"))

    def test_mark_without_a_zone_is_refused_and_logged(self):
        self.read_marks({"op/evacuate/": b"{}", "op/evacuate/a": b"{}"})
        self.assertEqual(self.settings.evacuated_zones, frozenset("a"))
        self.assertIn("names no zone", self.events.state.call_args_list[0].args[2])

    def test_stale_read_does_not_restore_an_ended_evacuation(self):
        """A starting node must not evacuate a zone because of an outdated read."""
        self.settings.take("op/evacuate/a", 500, None, "peer")
        self.read_marks({"op/evacuate/a": b"{}"})
        self.assertEqual(self.settings.evacuated_zones, frozenset())

    def test_stale_read_does_not_end_an_evacuation(self):
        """A starting node must not send calls to an evacuated zone because of an outdated read."""
        self.settings.take("op/evacuate/a", 500, {}, "peer")
        self.read_marks({})
        self.assertEqual(self.settings.evacuated_zones, frozenset("a"))

    def test_read_without_servers_does_not_end_an_evacuation(self):
        self.read_marks({"op/evacuate/a": b"{}"})
        self.read({})
        self.assertEqual(self.settings.evacuated_zones, frozenset("a"))

"""Tests of what is read from the headers of a backend server's response."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from caperstack.calls.dialect import Dialect, ServerReport

DIALECT = Dialect(instance="Instance", load="Load", rate_limit="Rate", leaving="Leaving")


def read(**headers):
    return ServerReport.read(HTTPHeaders(headers), DIALECT)


class TestServerReport(unittest.TestCase):
    """`ServerReport.read`."""

    def test_decimal_numbers_are_rate_limits(self):
        for text, rate in (
            ("7.7", 7.7),
            ("8", 8.0),
            (" 0.25 ", 0.25),
            (".5", 0.5),
            ("3.", 3.0),
            ("0", 0.0),
        ):
            report = read(Rate=text)
            self.assertEqual((report.rate_limit, report.unreadable), (rate, []), text)

    def test_other_texts_are_unreadable_and_no_rate(self):
        """Guards against a rate of NaN, infinity or below zero, with which nothing could start."""
        for text in ("-1", "+2", "nan", "inf", "1e3", "5,8", "7 7", "many", "9" * 400, "٣"):
            report = read(Rate=text)
            self.assertTrue(report.states_rate_limit, text)
            self.assertIsNone(report.rate_limit, text)
            self.assertEqual([header.name for header in report.unreadable], ["Rate"], text)

    @given(st.text(alphabet=st.characters(codec="latin-1", exclude_categories=["C"])))
    def test_every_value_is_read_without_an_error(self, text):
        report = read(Rate=text, Leaving=text, Load=text)
        self.assertTrue(report.rate_limit is None or report.rate_limit >= 0.0)

    def test_absent_headers_state_nothing(self):
        report = read()
        self.assertEqual(report, ServerReport())
        self.assertFalse(report.states_rate_limit)

    def test_only_one_value_means_leaving(self):
        self.assertTrue(read(Leaving="1").leaving)
        report = read(Leaving="soon")
        self.assertFalse(report.leaving)
        self.assertEqual(report.unreadable[0].value, "soon")

    def test_dialect_without_names_reads_nothing(self):
        headers = HTTPHeaders({"Rate": "5", "Leaving": "1", "": "5"})
        self.assertEqual(ServerReport.read(headers, Dialect()), ServerReport())


if __name__ == "__main__":
    unittest.main()

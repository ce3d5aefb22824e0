"""Tests of the conversion of replies, without a network."""

import unittest

from caperstack.calls.model import Answered, Load, Unknown
from caperstack.peers.messages import Answer, Unsure
from caperstack.peers.translate import load_report, outcome_from_reply

LOAD = load_report(Load())


def reply(status=200, reason="OK", headers=(("X", "1"),)):
    """Return the outcome of the reply of an owner with this answer."""
    return outcome_from_reply(Answer(1, 2, status, reason, list(headers), LOAD, 0), b"ok")


class TestAnswers(unittest.TestCase):
    """Answers that an owner, perhaps of another version, has read."""

    def assert_unknown(self, outcome):
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(outcome.status, 502)

    def test_status_that_no_answer_has_is_not_passed_on(self):
        """Guards against a caller that gets the status 000 through another node."""
        for status in (-1, 0, 99, 100, 101, 199, 600, 999, 10**9):
            self.assert_unknown(reply(status))

    def test_fields_and_reasons_that_the_grammar_does_not_allow_are_not_passed_on(self):
        """Guards against a head that callers cannot read, or that is never written."""
        for name in ("", "X Y", "X:", "X\r", "X\0", "\xe9", "\u0100"):
            self.assert_unknown(reply(headers=[("Y", "1"), (name, "1")]))
        for text in ("a\r\nb", "a\0", "\x7f", "\u0100", "\x1b"):
            self.assert_unknown(reply(headers=[("X", text)]))
            self.assert_unknown(reply(reason=text))

    def test_unusual_answers_are_passed_on(self):
        for status, text in ((200, ""), (299, "a\tb"), (599, "\xe9\xff"), (304, "~ ")):
            headers = [("!#$%&'*+-.^_`|~09aZ", text)]
            self.assertEqual(reply(status, text, headers), Answered(status, text, headers, b"ok"))

    def test_status_of_an_unknown_outcome_is_a_failure(self):
        """Guards against an unknown outcome that a caller takes for another."""
        for status in (0, 200, 404, 429, 503, 600):
            self.assert_unknown(outcome_from_reply(Unsure(1, "lost", status, LOAD, 0, 0), b""))
        known = outcome_from_reply(Unsure(1, "lost", 504, LOAD, 0, 7), b"")
        self.assertEqual(known, Unknown("lost", 504, 7))


if __name__ == "__main__":
    unittest.main()

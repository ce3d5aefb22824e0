"""Command line tool that checks and compares trees and queries the settings of nodes."""

import argparse
import asyncio
import difflib
import json
import sys

from caperstack import __version__
from caperstack.bench.client import request
from caperstack.clock import deadline_after, now, wall_microseconds
from caperstack.config.tree import parse_subtree, subtree_schema
from caperstack.exception import ConfigurationError
from caperstack.settings.compile import compile_tree
from caperstack.settings.revisions import format_revision

__all__ = ["main"]

#: A tree has problems, or `status --until` ran into its deadline.
EXIT_REFUSED = 1
EXIT_BAD_ARGUMENTS = 2
NODE_TIMEOUT_SECONDS = 3.0
POLL_SECONDS = 0.2


def _parser():
    parser = argparse.ArgumentParser(
        prog="caperstack-settings",
        description="Work with the settings of teams. A tree is a JSON object: subtree path to "
        'subtree, "" for the root. No command changes any settings.',
    )
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser("check", help="validate a tree as the nodes would")
    check.add_argument("tree")
    diff = commands.add_parser("diff", help="show the effective differences between two trees")
    diff.add_argument("old")
    diff.add_argument("new")
    commands.add_parser("schema", help="print the JSON Schema of a subtree")
    show = commands.add_parser("show", help="show the settings that one node holds")
    show.add_argument("operator", help="operator address of the node, ip:port")
    status = commands.add_parser("status", help="show the revisions in force at each node")
    status.add_argument("operators", nargs="+", help="operator addresses, ip:port")
    status.add_argument("--subtree", help="show only this subtree; with --until, wait for it")
    status.add_argument(
        "--until",
        type=int,
        metavar="REVISION",
        help="wait until each node has this revision or a higher one",
    )
    status.add_argument(
        "--deadline", type=float, default=30.0, help="maximum time to wait, in seconds"
    )
    return parser


def _read_tree(path):
    with open(path, encoding="utf-8") as file:
        try:
            documents = json.load(file)
        except ValueError as error:
            raise ConfigurationError(f"not JSON: {error}", step="tree", peer=path) from None
    if not isinstance(documents, dict):
        raise ConfigurationError("not a JSON object of subtrees", step="tree", peer=path)
    return {name: parse_subtree(name, document) for name, document in documents.items()}


def _effective_lines(subtrees):
    """Return what `subtrees` put in force, as sorted lines of text, and the problems by path."""
    table = compile_tree(subtrees)
    lines = [
        f"route {path} {'/'.join(route.methods) or '*'} -> {route.service} "
        f"({route.criticality}, {route.deadline_seconds} s, idempotent {route.idempotent})"
        for path, routes in table.routes.items()
        for route in routes
    ]
    lines += [f"service {name}: {service}" for name, service in table.services.items()]
    lines += [f"zone {zone}: evacuated" for zone in table.evacuated_zones]
    return sorted(lines), table.problems


def _check(options):
    lines, problems = _effective_lines(_read_tree(options.tree))
    for line in lines:
        print(line)
    for path, reasons in problems.items():
        for reason in reasons:
            print(f"REFUSED {path or '/'}: {reason}")
    return EXIT_REFUSED if problems else 0


def _diff(options):
    old, _ = _effective_lines(_read_tree(options.old))
    new, _ = _effective_lines(_read_tree(options.new))
    for line in difflib.unified_diff(old, new, options.old, options.new, lineterm="", n=0):
        print(line)
    return 0


def _schema(options):
    print(json.dumps(subtree_schema(), indent=2))
    return 0


async def _fetch_settings(address):
    try:
        reply = await request(address, "GET", "/settings", seconds=NODE_TIMEOUT_SECONDS)
        return json.loads(reply.body)
    except Exception as error:
        # A node that cannot be queried is reported as a line of the output.
        return {"host": address, "subtrees": [], "problem": f"{type(error).__name__}: {error}"}


def _format_row(host, subtree):
    held = "deleted" if subtree["deleted"] else format_revision(subtree["revision"])
    age = wall_microseconds() / 1e6 - subtree["since_us"] / 1e6
    text = f"{host:20} {subtree['path'] or '/':24} {held:14} {age:8.1f} s, from {subtree['source']}"
    if subtree["refused_reason"]:
        text += (
            f"; refused {format_revision(subtree['refused_revision'])}: {subtree['refused_reason']}"
        )
    for problem in subtree["problems"]:
        text += f"; not in force: {problem}"
    return text


def _print_status(answers, only):
    for answer in answers:
        if "problem" in answer:
            print(f"{answer['host']:20} cannot be asked: {answer['problem']}")
        for subtree in answer["subtrees"]:
            if only is None or subtree["path"] == only:
                print(_format_row(answer["host"], subtree))


def _all_have_reached(answers, path, revision):
    return all(
        any(s["path"] == path and s["revision"] >= revision for s in answer["subtrees"])
        for answer in answers
    )


async def _status(options):
    limit = deadline_after(options.deadline)
    path = (options.subtree or "").strip("/")
    only = None if options.subtree is None else path
    while True:
        answers = await asyncio.gather(*(_fetch_settings(address) for address in options.operators))
        done = options.until is None or _all_have_reached(answers, path, options.until)
        if done or now() > limit:
            _print_status(answers, only)
            return 0 if done else EXIT_REFUSED
        await asyncio.sleep(POLL_SECONDS)


async def _show(options):
    print(json.dumps(await _fetch_settings(options.operator), indent=2))
    return 0


_LOCAL_COMMANDS = {"check": _check, "diff": _diff, "schema": _schema}
_NODE_COMMANDS = {"show": _show, "status": _status}


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    try:
        if options.command in _NODE_COMMANDS:
            return asyncio.run(_NODE_COMMANDS[options.command](options))
        return _LOCAL_COMMANDS[options.command](options)
    except (OSError, ConfigurationError) as error:
        print(f"caperstack-settings: {error}", file=sys.stderr)
        return EXIT_BAD_ARGUMENTS


if __name__ == "__main__":
    sys.exit(main())

"""Command line of caperstack-play: simulate a load under several policies and compare them."""

import argparse
import json
import os
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict

from caperstack import __version__
from caperstack.exception import ConfigurationError
from caperstack.play.play import figures_of, play
from caperstack.play.policies import POLICIES
from caperstack.play.scenario import parse_scenario

__all__ = ["main"]

EXIT_BAD_ARGUMENTS = 2

#: Length of the bar of a credit of 1, in characters.
BAR_WIDTH = 40


def _parser():
    parser = argparse.ArgumentParser(
        prog="caperstack-play",
        description=(
            "Simulate a load from a JSON file in virtual time: real entries, owners, queues and "
            "retry budgets against modelled backend servers and callers who honour Retry-After. "
            "Print the results of callers under each policy."
        ),
    )
    parser.add_argument("scenario", help="JSON file such as examples/plays/*.json")
    parser.add_argument(
        "--policy",
        action="append",
        choices=list(POLICIES),
        help="policy to simulate; may be repeated (default: all)",
    )
    parser.add_argument(
        "--seeds",
        type=int,
        default=1,
        help="number of simulations of each policy, with consecutive seeds",
    )
    parser.add_argument(
        "--jobs",
        type=int,
        default=max(1, (os.cpu_count() or 1) // 2),
        help="number of simulations that run at a time",
    )
    parser.add_argument(
        "--kinds", action="store_true", help="also print a line for each kind of call"
    )
    parser.add_argument("--json", help="write the figures to this file")
    parser.add_argument("--version", action="version", version=f"%(prog)s {__version__}")
    return parser


def _run_simulations(scenario, policies, seeds, jobs):
    """Yield each policy with the results of all its simulations, run `jobs` at a time."""
    runs = [
        (scenario.model_copy(update={"seed": seed}), policy)
        for policy in policies
        for seed in range(scenario.seed, scenario.seed + seeds)
    ]
    with ProcessPoolExecutor(jobs) as pool:
        results = pool.map(play, *zip(*runs, strict=True))
        for policy in policies:
            yield policy, [result for _ in range(seeds) for result in next(results)]


def _row(name, figures):
    return (
        f"{name:26}{figures.asked:7}{figures.in_time:9.3f}{figures.late:7.3f}"
        f"{figures.refused:9.3f}{figures.failed:8.3f}{figures.credit:8.3f}{figures.worst:7.3f}"
        f"{figures.p50_ms:8.0f}{figures.p99_ms:8.0f}{figures.tries:7.2f}"
    )


def _heading():
    return (
        f"{'policy':26}{'asked':>7}{'in time':>9}{'late':>7}{'refused':>9}{'failed':>8}"
        f"{'credit':>8}{'worst':>7}{'p50 ms':>8}{'p99 ms':>8}{'tries':>7}"
    )


def _credit_bars(credits):
    """Yield a bar for the credit of each policy, the highest first."""
    for name, credit in sorted(credits.items(), key=lambda item: -item[1]):
        yield f"{name:26}{'#' * round(credit * BAR_WIDTH)} {credit:.3f}"


def main(arguments=None):
    """Run the command line; return the exit status."""
    options = _parser().parse_args(arguments)
    try:
        with open(options.scenario, encoding="utf-8") as file:
            scenario = parse_scenario(file.read())
        if options.seeds < 1:
            raise ConfigurationError("must be at least 1", step="arguments", peer="--seeds")
    except (OSError, ConfigurationError) as error:
        print(f"caperstack-play: {error}", file=sys.stderr)
        return EXIT_BAD_ARGUMENTS
    figures_by_policy = {}
    print(_heading())
    policies = options.policy or list(POLICIES)
    for policy, results in _run_simulations(scenario, policies, options.seeds, options.jobs):
        figures_by_policy[policy] = figures_of(results)
        print(_row(policy, figures_by_policy[policy]), flush=True)
        for kind in scenario.kinds if options.kinds else ():
            if kind.per_second:
                print(_row(f"  {kind.name}", figures_of(results, kind.name)))
    print()
    print(
        "\n".join(
            _credit_bars({policy: figures.credit for policy, figures in figures_by_policy.items()})
        )
    )
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump(
                {policy: asdict(figures) for policy, figures in figures_by_policy.items()},
                file,
                indent=2,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())

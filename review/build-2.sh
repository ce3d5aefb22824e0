#!/usr/bin/env bash
# The stand-ins of review/4 to review/8 are Python files of the standard library: compile them as a
# check that this Python reads them.  The nodes come from the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q lib-2 [4-8]

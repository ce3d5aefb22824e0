"""Show the load that retries add at the lowest of seven levels, with and without halving."""

from caperstack.routing.budgets import share_at_depth

SHARE = 0.1
LEVELS = 7

plain = halved = 1.0
for depth in range(LEVELS):
    plain *= 1 + SHARE
    halved *= 1 + share_at_depth(SHARE, depth)
print(f"every level adds {SHARE:.0%}: the lowest sees {plain:.2f} times its load")
print(f"halved at each level:   the lowest sees {halved:.2f} times its load")

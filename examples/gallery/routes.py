"""Show what a settings tree compiles to: the route of a request, and the parts left out."""

from caperstack.config.tree import parse_subtree
from caperstack.settings.compile import compile_tree

tree = {
    "": {"teams": {"bookings": {"routes": ["/bookings"], "services": ["bookings"]}}},
    "bookings": {"routes": [{"path": "/bookings", "service": "bookings", "criticality": "high"}]},
    "greedy": {"routes": [{"path": "/listings", "service": "listings"}]},
}
table = compile_tree({path: parse_subtree(path, document) for path, document in tree.items()})

print("POST /bookings/17 ->", table.route("POST", "/bookings/17").service)
print("GET /listings     ->", table.route("GET", "/listings"))
print("left out:", table.problems)

"""Load generator for experiments: open-loop load on nodes, latencies and ledger checks."""

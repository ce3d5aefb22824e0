"""Show which hosts keep an idempotency key, and how few keys move when a host is replaced."""

from caperstack.idempotency.keeper import keepers_of

hosts = [f"bookings-{number}" for number in range(1, 9)]
keys = [f"key-{number}" for number in range(10_000)]

print("keepers of key-1:", ", ".join(keepers_of("key-1", hosts)))

replaced = [*hosts[:-1], "bookings-9"]
moved = sum(set(keepers_of(key, hosts)) != set(keepers_of(key, replaced)) for key in keys)
print(
    f"one host of eight replaced: {moved / len(keys):.0%} of the keys get one new keeper of three"
)

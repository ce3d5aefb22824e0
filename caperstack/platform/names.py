"""Names that the platform puts on the wire, and what they stand for here."""

from caperstack.calls.dialect import Dialect

__all__ = [
    "BOOT_VARIABLE",
    "CONFIGURATION_KEY",
    "DIALECT",
    "EVACUATIONS_PREFIX",
    "OPERATOR_PREFIX",
    "READY_PATH",
    "SEAL",
    "SERVERS_PREFIX",
    "STORE_ERA",
]

#: The environment variable with the path of the start settings.
BOOT_VARIABLE = "CAPERSTACK_BOOT"

#: The store's key of the newest configuration.
CONFIGURATION_KEY = "op/config"

#: The prefix of all that operators write, and of the marks of evacuated zones in it.
OPERATOR_PREFIX = "op/"
EVACUATIONS_PREFIX = "op/evacuate/"

#: The prefix of the keys under which backend servers register.
SERVERS_PREFIX = "servers/"

#: Where the platform asks whether this node takes requests.
READY_PATH = "/v1/ready"

#: The header of the store's answers that counts how often it came back from an older copy.
STORE_ERA = "Store-Era"

#: The header by which the platform recognises a backend server's own answer.
#: The node passes it on like any other; only stand-ins set it.
SEAL = "X-Server-Seal"

DIALECT = Dialect(
    request_id="X-Request-Id",
    # Milliseconds left, not a point in time.
    time_left="X-Deadline-Ms",
    caller_service="X-Caller-Service",
    target_instance="X-Target-Instance",
    instance="X-Instance-Id",
    not_executed="X-Not-Executed",
    load="X-Server-Load",
    cold="X-Cold-Ms",
    traces=False,
    ends_with_connection=True,
    fractional_seconds=True,
)

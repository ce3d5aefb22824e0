"""The keys, paths and headers that the platform defines."""

from caperstack.calls.dialect import Dialect

__all__ = [
    "BOOT_VARIABLE",
    "CONFIGURATION_KEY",
    "DIALECT",
    "EVACUATIONS_PREFIX",
    "OPERATOR_PREFIX",
    "READY_PATH",
    "SERVERS_PREFIX",
    "SERVER_SEAL_HEADER",
    "STORE_ERA_HEADER",
]

#: The environment variable that holds the path of the start settings.
BOOT_VARIABLE = "CAPERSTACK_BOOT"

#: The store key of the current configuration.
CONFIGURATION_KEY = "op/config"

#: The prefix of all keys that operators write, and of those that mark evacuated zones.
OPERATOR_PREFIX = "op/"
EVACUATIONS_PREFIX = "op/evacuate/"

#: The prefix of the keys under which backend servers register.
SERVERS_PREFIX = "servers/"

#: The path of the readiness check.
READY_PATH = "/v1/ready"

#: The header in which the store counts how often it has been restored from an older copy.
STORE_ERA_HEADER = "Store-Era"

#: The header by which the platform recognises answers that come from a backend server.  The
#: node forwards it like any other header; in this code only stand-ins set it.
SERVER_SEAL_HEADER = "X-Server-Seal"

DIALECT = Dialect(
    request_id="X-Request-Id",
    # The remaining time in milliseconds, not a point in time.
    time_left="X-Deadline-Ms",
    caller_service="X-Caller-Service",
    target_instance="X-Target-Instance",
    instance="X-Instance-Id",
    not_executed="X-Not-Executed",
    load="X-Server-Load",
    cold="X-Cold-Ms",
    # Requests per second from all hosts together, as long as responses state it.
    rate_limit="Server-Limit",
    leaving="Server-Leaving",
    traces=False,
    ends_with_connection=True,
    fractional_seconds=True,
)

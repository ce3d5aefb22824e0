"""caperstack: a load balancer for servers whose load shifts in milliseconds."""

import time

__version__ = "0.1.0"

#: Start of this process on the monotonic clock, in seconds, taken when the package is imported.
STARTED_AT = time.monotonic()

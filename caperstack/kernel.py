"""The micro-kernel: starts named services in order and lets them find each other."""

from caperstack.exception import KernelError

__all__ = ["Kernel"]


class Kernel:
    """A registry of named services with one order of starting and stopping.

    A service is any object with ``async start(kernel)`` and ``async stop()``.
    Services start in the order of registration and stop in reverse, so that
    one may rely on those registered before it.

    Examples
    --------
    >>> kernel = Kernel()
    >>> kernel.register("events", object())
    >>> kernel.names
    ('events',)
    """

    def __init__(self):
        self._services = {}
        self._started = []

    @property
    def names(self):
        """The names of the registered services, in order."""
        return tuple(self._services)

    def register(self, name, service):
        """Add `service` under `name`.

        Raises
        ------
        KernelError
            If the name is taken.
        """
        if name in self._services:
            raise KernelError("name is taken", step="register", peer=name)
        self._services[name] = service

    def find(self, name):
        """Return the service registered under `name`.

        Raises
        ------
        KernelError
            If there is none.
        """
        try:
            return self._services[name]
        except KeyError:
            raise KernelError("no such service", step="find", peer=name) from None

    async def start(self):
        """Start all services; on a failure stop the started ones and raise it."""
        for name, service in self._services.items():
            try:
                await service.start(self)
            except Exception as error:
                await self.stop()
                raise KernelError(f"did not start: {error}", step="start", peer=name) from error
            self._started.append((name, service))

    async def stop(self):
        """Stop the started services in reverse order.

        Raises
        ------
        ExceptionGroup
            Of one `KernelError` per service that failed to stop.
        """
        errors = []
        while self._started:
            name, service = self._started.pop()
            try:
                await service.stop()
            except Exception as error:
                errors.append(KernelError(f"did not stop: {error}", step="stop", peer=name))
        if errors:
            raise ExceptionGroup("services failed to stop", errors)

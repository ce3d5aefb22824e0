"""Microkernel: starts and stops named services in order, and looks them up by name."""

from caperstack.exception import KernelError

__all__ = ["Kernel"]


class Kernel:
    """A registry of named services that are started and stopped in a fixed order.

    A service is any object with ``async start(kernel)`` and ``async stop()``.
    Services start in the order of registration and stop in reverse order, so that a
    service may depend on those registered before it.

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
        """Names of the registered services, in order of registration."""
        return tuple(self._services)

    def register(self, name, service):
        """Add `service` under `name`.

        Raises
        ------
        KernelError
            If a service is registered under this name.
        """
        if name in self._services:
            raise KernelError("name is taken", step="register", peer=name)
        self._services[name] = service

    def find(self, name):
        """Return the service registered under `name`.

        Raises
        ------
        KernelError
            If no service is registered under this name.
        """
        try:
            return self._services[name]
        except KeyError:
            raise KernelError("no such service", step="find", peer=name) from None

    async def start(self):
        """Start all services in order.

        Raises
        ------
        KernelError
            If a service fails to start; those started before it are stopped first.
        """
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
            With one `KernelError` for each service that failed to stop.
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

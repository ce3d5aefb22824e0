"""An owner without a node around it, for tests in virtual time."""

from types import SimpleNamespace
from unittest import mock

from caperstack.admission.owner import Owner
from caperstack.quarantine.suspects import Suspects

__all__ = ["start_owner"]


async def start_owner(client, slots=9, slots_share=0.8, link=None, **others):
    """Return a started `Owner` of a backend server with `slots` slots, reached by `client`.

    ``others`` are services that it finds instead of fakes.
    """
    owner = Owner(SimpleNamespace(slots=slots, slots_share=slots_share), client, link)
    recorder = mock.Mock()
    suspects = Suspects()
    suspects._events = recorder
    services = {
        "metrics": recorder,
        "events": recorder,
        "pauses": SimpleNamespace(recently_paused=lambda: False),
        "members": mock.Mock(),
        "suspects": suspects,
    } | others
    await owner.start(SimpleNamespace(find=services.__getitem__))
    return owner

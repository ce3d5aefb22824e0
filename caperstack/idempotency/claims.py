"""The entry's side of idempotency keys: claim before the first dispatch, settle after the call."""

import asyncio
import secrets
from dataclasses import dataclass

from caperstack.calls.model import Answered, NotRun, Unknown
from caperstack.clock import deadline_after
from caperstack.exception import PeerError
from caperstack.idempotency.keeper import (
    Verdict,
    creation_microseconds,
    fingerprint,
    keepers_of,
    majority,
)
from caperstack.peers.messages import Claim, Claimed, Settle

__all__ = ["KeyClaims"]

#: Time that keepers have to answer a claim; the call's deadline may shorten it.
CLAIM_TIMEOUT_SECONDS = 0.5

#: Size of the random number that identifies one claim of a key.
HOLDER_BITS = 62

_REFUSALS = {
    Verdict.RAN: Unknown("a call with this key has run already", 409),
    Verdict.RUNNING: Unknown("a call with this key may be running or have run", 409),
    Verdict.OTHER_REQUEST: NotRun("this key belongs to another request", status=422),
}

_NO_MAJORITY = Unknown("no majority of keepers can vouch for this key", 503)


@dataclass(slots=True)
class _KeyClaim:
    """A claim of a key, with what is needed to settle it.

    Attributes
    ----------
    holder : int
        Random number that identifies this claim at the keepers.
    keepers : list of str
        The hosts of the keepers.
    """

    service: str
    key: str
    holder: int
    keepers: list


class KeyClaims:
    """Claim idempotency keys at their keepers and settle the claims.

    Parameters
    ----------
    here : object
        The start settings of this node; its ``host`` is read.
    """

    def __init__(self, here):
        self._here = here

    async def start(self, kernel):
        """Look up the services that this one uses."""
        self._members = kernel.find("members")
        self._settings = kernel.find("settings")
        self._keeper = kernel.find("keeper")
        self._metrics = kernel.find("metrics")

    async def stop(self):
        """Nothing to stop."""

    async def claim(self, call):
        """Claim the key of `call`.

        Returns
        -------
        held, refusal : _KeyClaim or None, Outcome or None
            Exactly one of them is set.  The caller of this method must pass `held`
            to `settle` when the call has ended.
        """
        hosts = [member.host for member in self._members.of_service(call.service)]
        keepers = keepers_of(call.key, hosts)
        held = _KeyClaim(call.service, call.key, secrets.randbits(HOLDER_BITS), keepers)
        replies = await self._claim_at_keepers(call, held)
        if keepers and len(_vouched_grants(replies)) >= majority(len(keepers)):
            return held, None
        # The call does not run, so its partial claim must not block a later one.
        self._settle_at_keepers(held, ran=False)
        return None, self._refusal(replies)

    def settle(self, held, outcome):
        """Report the outcome of the call to the keepers.

        An unknown outcome is not reported: the claim then stays until it expires.
        """
        if isinstance(outcome, NotRun):
            self._settle_at_keepers(held, ran=False)
        elif isinstance(outcome, Answered):
            self._settle_at_keepers(held, ran=True)

    def _refusal(self, replies):
        verdicts = {Verdict(reply.verdict) for reply in replies}
        self._metrics.count("keys_refused")
        for verdict in (Verdict.OTHER_REQUEST, Verdict.RAN, Verdict.RUNNING):
            if verdict in verdicts:
                return _REFUSALS[verdict]
        return _NO_MAJORITY

    async def _claim_at_keepers(self, call, held):
        window = self._settings.service(call.service).key_window_seconds
        request_fingerprint = fingerprint(call.method, call.target, call.body)
        created = creation_microseconds(call.key)
        deadline = min(call.deadline, deadline_after(CLAIM_TIMEOUT_SECONDS))
        claims = [
            Claim(
                0,
                held.service,
                held.key,
                held.keepers,
                held.holder,
                request_fingerprint,
                created,
                int(window * 1e6),
            )
            for _ in held.keepers
        ]
        requests = [
            asyncio.create_task(self._claim_at(host, claim, deadline))
            for host, claim in zip(held.keepers, claims, strict=True)
        ]
        return await _until_majority(requests)

    async def _claim_at(self, host, claim, deadline):
        if host == self._here.host:
            return Claimed(0, *self._keeper.claim(claim), 0)
        member = self._members.find(host)
        if member is None:
            return None
        try:
            return await member.owner.ask(claim, deadline)
        except PeerError:
            self._metrics.count("keepers_silent")
            return None

    def _settle_at_keepers(self, held, ran):
        message = Settle(held.service, held.key, held.holder, ran)
        for host in held.keepers:
            member = self._members.find(host)
            if host == self._here.host:
                self._keeper.settle(message)
            elif member is not None:
                member.owner.tell(message)


def _vouched_grants(replies):
    return [r for r in replies if r.verdict == Verdict.GRANTED and r.vouches]


async def _until_majority(requests):
    """Return the replies received when a majority vouches for its grants, or else all replies.

    Notes
    -----
    Waiting for all keepers would add half a second (`CLAIM_TIMEOUT_SECONDS`) to
    each claim while one of them is down.  Two grants of three decide; the request
    to the third keeper is not cancelled, so that it records the claim too.
    """
    replies = []
    for request in asyncio.as_completed(requests):
        reply = await request
        if reply is not None:
            replies.append(reply)
        if len(_vouched_grants(replies)) >= majority(len(requests)):
            break
    return replies

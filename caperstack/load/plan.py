"""Plan the calls of the load generator and when it sends them."""

import json
import random
import time
import uuid
from dataclasses import dataclass
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from caperstack.config.start import validation_reason
from caperstack.exception import ConfigurationError

__all__ = ["CallClass", "PlannedCall", "new_key", "parse_mix", "plan_calls"]


class CallClass(BaseModel):
    """One class of calls in a mix."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str = Field(min_length=1)
    path: str = Field(pattern="^/")
    method: Literal["GET", "POST", "PUT", "DELETE", "HEAD"] = "GET"
    share: float = Field(1.0, gt=0)
    keyed: bool = False
    body_bytes: int = Field(0, ge=0, le=64 * 1024 * 1024)
    deadline_seconds: float = Field(2.0, gt=0, le=300)

    @property
    def idempotent(self):
        """Whether the method is safe, so that the call may run more than once."""
        return self.method in ("GET", "HEAD")


class _Mix(BaseModel):
    classes: list[CallClass] = Field(min_length=1)


@dataclass(slots=True)
class PlannedCall:
    """One planned call.

    Attributes
    ----------
    due : float
        Planned time of sending, in seconds from the start.
    name : str
        Name of the call in the ledgers.
    kind : CallClass
        Its class.
    target : str
        Address of the node.
    key : str
        Idempotency key, or "" for none.
    body : bytes
        Body of the request.
    """

    due: float
    name: str
    kind: CallClass
    target: str
    key: str
    body: bytes


def parse_mix(text):
    """Return the list of `CallClass` in the JSON `text`.

    Raises
    ------
    ConfigurationError
        If `text` is not valid; the error names the field and the reason.
    """
    try:
        return _Mix.model_validate(json.loads(text)).classes
    except ValidationError as error:
        field, reason = validation_reason(error)
        raise ConfigurationError(reason, step="mix", peer=field) from None
    except ValueError as error:
        raise ConfigurationError(f"not JSON: {error}", step="mix") from None


def new_key(rng):
    """Return a new idempotency key: a UUID version 7, which contains its creation time."""
    milliseconds = time.time_ns() // 1_000_000
    value = milliseconds << 80 | 7 << 76 | rng.getrandbits(12) << 64
    value |= 2 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def plan_calls(classes, targets, rate, seconds, seed):
    """Yield a `PlannedCall` for each arrival of a Poisson process.

    Parameters
    ----------
    classes : list of CallClass
        The mix.
    targets : list of str
        Addresses of nodes; each call goes to a random one, as with real callers.
    rate : float
        Calls per second.
    seconds : float
        Duration of the plan, in seconds.
    seed : int
        Seed of the random generator.
    """
    rng = random.Random(seed)
    shares = [kind.share for kind in classes]
    due = rng.expovariate(rate)
    number = 0
    while due < seconds:
        kind = rng.choices(classes, shares)[0]
        number += 1
        yield PlannedCall(
            due,
            f"{seed}-{number}",
            kind,
            rng.choice(targets),
            new_key(rng) if kind.keyed else "",
            rng.randbytes(kind.body_bytes),
        )
        due += rng.expovariate(rate)

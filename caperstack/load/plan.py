"""What the load tool sends and when: a stream of planned calls."""

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
    """One kind of call in a mix."""

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
        """Whether the method is safe, so that the call may run again."""
        return self.method in ("GET", "HEAD")


class _Mix(BaseModel):
    classes: list[CallClass] = Field(min_length=1)


@dataclass(slots=True)
class PlannedCall:
    """One call: when it is due in seconds from the start, and where it goes."""

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
        Naming the field and the reason.
    """
    try:
        return _Mix.model_validate(json.loads(text)).classes
    except ValidationError as error:
        field, reason = validation_reason(error)
        raise ConfigurationError(reason, step="mix", peer=field) from None
    except ValueError as error:
        raise ConfigurationError(f"not JSON: {error}", step="mix") from None


def new_key(rng):
    """Return an idempotency key: a UUID version 7, which tells when it was made."""
    milliseconds = time.time_ns() // 1_000_000
    value = milliseconds << 80 | 7 << 76 | rng.getrandbits(12) << 64
    value |= 2 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


def plan_calls(classes, targets, rate, seconds, seed):
    """Yield `PlannedCall` with Poisson arrivals.

    Parameters
    ----------
    classes : list of CallClass
        The mix.
    targets : list of str
        Node addresses; each call goes to one at random, as callers do.
    rate : float
        Calls a second.
    seconds : float
        How long calls are due.
    seed : int
        Of the chance in it.
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

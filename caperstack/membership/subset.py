"""The bounded subset of a large service that one entry keeps links to."""

import xxhash

__all__ = ["SUBSET", "subset_of"]

#: Members of one service that an entry calls; half of them in its own zone.
#: Each hears of its members' loads as they change, so what the fleet sends
#: grows with this: at 73 hosts and 24 members every owner told 72 peers. With
#: eight, one in four slowed by a neighbour, the chance that all are is 1 in 65,000.
SUBSET = 8


def subset_of(members, here):
    """Return at most `SUBSET` of `members` for the entry `here`, spread over zones.

    Parameters
    ----------
    members : list
        With ``host`` and ``zone``.
    here : object
        The entry's ``host`` and ``zone``.

    Notes
    -----
    Each entry ranks the members by a hash of both names, so that subsets of
    different entries differ and all members get the same share of entries.
    """
    if len(members) <= SUBSET:
        return list(members)
    near = _ranked([m for m in members if m.zone == here.zone], here)
    far = _in_turn(_ranked([m for m in members if m.zone != here.zone], here))
    chosen = near[: max(SUBSET // 2, SUBSET - len(far))]
    return chosen + far[: SUBSET - len(chosen)]


def _in_turn(members):
    """Return `members` with zones taking turns, so that the first few are of all zones."""
    places = {}
    order = []
    for member in members:
        place = places[member.zone] = places.get(member.zone, -1) + 1
        order.append((place, len(order), member))
    return [member for _, _, member in sorted(order, key=lambda entry: entry[:2])]


def _ranked(members, here):
    return sorted(
        members, key=lambda m: xxhash.xxh3_64_intdigest(f"{here.host}\0{m.host}".encode())
    )

"""How long callers of a route wait in all, and so how long one has waited already."""

__all__ = ["Patience"]

#: Width of the classes of time left that are told apart, in seconds.
STEP_SECONDS = 0.05

#: A class that holds this share of the calls is that of first tries.  Callers
#: who come back have all kinds of time left; a few wait longer than the rest.
USUAL_SHARE = 0.1

#: Calls before which nothing is known.
KNOWN_AFTER = 20

#: Calls after which old ones count half.
HALVE_AFTER = 400

#: Routes that are told apart; beyond that they are learnt anew.
ROUTES_MOST = 500


class Patience:
    """Tell callers who come back from those who ask for the first time.

    Notes
    -----
    Which load it answers: after an outage all callers come back at once, and
    whoever asks for the first time waits behind them.  A caller's objective
    counts from its first try, so one who comes back after a refusal can rarely
    be in time.  How much less time it has left than usual tells how long it
    has waited already.

    Examples
    --------
    >>> patience = Patience()
    >>> for _ in range(50):
    ...     waited = patience.waited("route", 4.0)
    >>> patience.waited("route", 3.0)
    1.0
    """

    def __init__(self):
        self._routes = {}

    def waited(self, route, time_left):
        """Return how long a caller with `time_left` seconds has waited, in seconds."""
        classes = self._routes.get(route)
        if classes is None:
            if len(self._routes) >= ROUTES_MOST:
                self._routes.clear()
            classes = self._routes[route] = {}
        step = round(time_left / STEP_SECONDS)
        classes[step] = classes.get(step, 0) + 1
        total = sum(classes.values())
        if total < KNOWN_AFTER:
            return 0.0
        if total >= HALVE_AFTER:
            classes = self._routes[route] = {s: n / 2 for s, n in classes.items() if n >= 2}
        usual = max((s for s, n in classes.items() if n >= USUAL_SHARE * total), default=step)
        waited = usual * STEP_SECONDS - time_left
        return round(waited, 3) if waited > 2 * STEP_SECONDS else 0.0

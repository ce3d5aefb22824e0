"""Give nested calls the urgency and the time of the run that waits for them."""

from caperstack.clock import now
from caperstack.trees.nested import MAX_ROUTES, NestedRoutes

__all__ = ["CallTrees"]

#: Share of the time to the objective of its run that a nested call may take; the rest is for
#: the work that the run has left and for its answer.
NESTED_SHARE = 0.6

#: Differences of deadlines within which one counts as the other's, in seconds: callers round
#: to milliseconds, and a call has been on its way.
DEADLINE_MARGIN_SECONDS = 0.01


class CallTrees:
    """Recognise calls that the local backend server makes while it runs others.

    Notes
    -----
    The load that it answers: a service that many runs of others call is full.  Judged by its
    own short objective, a nested call would be refused although the run that waits for it has
    time left, and that run, which holds a slot of another service, would fail with it.  Its
    objective is therefore that of the run, and it is as urgent as the run.  Owners let it go
    before calls that have not begun (`caperstack.admission.queue`).

    State is kept in this node alone, for a few routes, and is learnt anew after a restart.
    """

    def __init__(self):
        self._routes = NestedRoutes()
        self._runs = ()
        self._metrics = None
        self._events = None
        self._reported = set()

    async def start(self, kernel):
        """Look up the services that the trees depend on."""
        self._metrics = kernel.find("metrics")
        self._events = kernel.find("events")
        self._runs = kernel.find("owner").running_calls

    async def stop(self):
        """Do nothing; no task runs."""

    def adopt(self, call):
        """Adjust `call`, which has just arrived from a caller, if a run has made it."""
        if not call.depth:
            self._routes.record(call.route, len(self._runs), self._runs.idle_seconds)
            nested = self._routes.is_nested(call.route)
            self._report(call.route, nested)
            if not nested:
                return
        runs = self._possible_runs(call)
        if not runs:
            return
        moment = now()
        call.depth = call.depth or 1 + min(run.depth for run in runs)
        call.criticality = max(call.criticality, *(run.criticality for run in runs))
        latest = max(run.objective_at or run.deadline for run in runs)
        objective_at = min(call.deadline, moment + NESTED_SHARE * (latest - moment))
        call.objective_at = max(call.objective_at or call.deadline, objective_at)
        self._metrics.count("nested_calls", service=call.service)

    def _possible_runs(self, call):
        """Return the runs that may have made `call`.

        Notes
        -----
        A run that ends before the call has most likely not made it.  If that holds for all,
        the backend server passes on no deadlines, or late ones, and any run may have made it.
        """
        earliest = call.deadline - DEADLINE_MARGIN_SECONDS
        return [run for run in self._runs if run.deadline >= earliest] or list(self._runs)

    def _report(self, route, nested):
        if nested == (route in self._reported):
            return
        if len(self._reported) >= MAX_ROUTES:
            self._reported.clear()
        if nested:
            self._reported.add(route)
        else:
            self._reported.discard(route)
        self._events.state("nested route", not nested, nested, route)

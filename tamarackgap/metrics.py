"""Counters and gauges, in the text form that collectors read."""

import aioprometheus
from aioprometheus import renderer


class Metrics:
    """All metrics of one daemon."""

    def __init__(self, daemon: str, service: str) -> None:
        """Creates metrics that carry the daemon's name and service."""
        labels = {"daemon": daemon, "service": service}
        self._registry = aioprometheus.Registry()
        self._requests = self._counter(
            "tamarackgap_requests_total",
            "Requests of callers, by verdict and reason.",
            labels,
        )
        self._legs = self._counter(
            "tamarackgap_legs_total",
            "Requests handed to the target, by verdict.",
            labels,
        )
        self._events = self._counter(
            "tamarackgap_events_total",
            "Decisions that are no request's, by event.",
            labels,
        )
        self._store_calls = self._gauge(
            "tamarackgap_store_calls",
            "Calls to the platform's store since the start, by kind and"
            " result.",
            labels,
        )
        self._leg_latency = aioprometheus.Histogram(
            "tamarackgap_leg_seconds",
            "Time from a call's hand-over to the target to its answer.",
            const_labels=labels,
            registry=self._registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self._gauges = {
            name: self._gauge(f"tamarackgap_{name}", text, labels)
            for name, text in _GAUGES.items()
        }
        self._latency = aioprometheus.Histogram(
            "tamarackgap_request_seconds",
            "Time from a caller's request to its answer.",
            const_labels=labels,
            registry=self._registry,
            buckets=_LATENCY_BUCKETS_S,
        )

    def observe_request(
        self, verdict: str, reason: str, seconds: float, route: str = ""
    ) -> None:
        """Counts a finished request of a caller, on a route if it had one."""
        self._requests.inc({"verdict": verdict, "reason": reason})
        where = {"route": route} if route else {}
        self._latency.observe({"verdict": verdict, **where}, seconds)

    def observe_leg(self, verdict: str, seconds: float | None = None) -> None:
        """Counts a request that was handed to the target.

        Args:
            verdict: What became of it.
            seconds: How long the target took, if it was measured.
        """
        self._legs.inc({"verdict": verdict})
        if seconds is not None:
            self._leg_latency.observe({"verdict": verdict}, seconds)

    def count_event(self, name: str) -> None:
        """Counts a decision."""
        self._events.inc({"event": name})

    def set_store_calls(self, counts: dict[str, int]) -> None:
        """Shows how many calls were made to the store."""
        for call, count in counts.items():
            kind, _, outcome = call.rpartition(" ")
            self._store_calls.set({"kind": kind, "result": outcome}, count)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge.

        Raises:
            KeyError: If there is no such gauge.
        """
        self._gauges[name].set({}, value)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Returns all metrics as text, with the HTTP headers for it."""
        return renderer.render(self._registry, [accept])

    def _counter(
        self, name: str, text: str, labels: dict[str, str]
    ) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            name, text, const_labels=labels, registry=self._registry
        )

    def _gauge(
        self, name: str, text: str, labels: dict[str, str]
    ) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            name, text, const_labels=labels, registry=self._registry
        )


_LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.018,
    0.03,
    0.05,
    0.1,
    0.3,
    1.0,
    3.0,
)

_GAUGES = {
    "owned_slots": "Slots owned.",
    "lease_left_seconds": "Time until the lease ends.",
    "epoch": "The lease's epoch.",
    "in_progress": "Requests in progress at the target.",
    "queued": "Requests that wait for the target.",
    "table_revision": "Revision up to which the table was read.",
    "table_reads": "Reads of the table.",
    "table_writes": "Transactions put to the table.",
    "peer_messages_sent": "Messages sent to other daemons.",
    "peer_bytes_sent": "Bytes sent to other daemons.",
    "peer_messages_dropped": "Messages that had no connection.",
    "peer_frames_malformed": "Frames that were no message of ours.",
    "renewal_lateness_seconds": "Largest delay of a renewal so far.",
    "loop_pause_seconds": "Longest turn of the loop so far.",
    "held_runs": "Runs of slots that the target is told to hold.",
    "route_table_version": "Version of the route table in force.",
    "route_table_age_seconds": "Time since it came into force.",
    "table_read_age_seconds": "Time since the table was last read.",
    "open_connections": "Connections of callers.",
}

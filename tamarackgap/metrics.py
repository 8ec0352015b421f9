"""Keeps a daemon's metrics and renders them for Prometheus."""

from collections.abc import Mapping

import aioprometheus
from aioprometheus import renderer


class Metrics:
    """Holds all metrics of one daemon."""

    def __init__(self, daemon: str, service: str) -> None:
        """Creates the metrics, each with the given labels.

        Args:
            daemon: Name of the daemon.
            service: Service of the daemon.
        """
        labels = {"daemon": daemon, "service": service}
        self._registry = aioprometheus.Registry()
        self._requests = self._counter(
            "tamarackgap_requests_total",
            "Finished requests of callers, by verdict and reason.",
            labels,
        )
        self._legs = self._counter(
            "tamarackgap_legs_total",
            "Requests handed to the target, by verdict.",
            labels,
        )
        self._events = self._counter(
            "tamarackgap_events_total",
            "Events other than finished requests, by name.",
            labels,
        )
        self._store_calls = self._gauge(
            "tamarackgap_store_calls",
            "Calls to the platform's store since the daemon started, by kind"
            " and result.",
            labels,
        )
        self._peer_bytes = self._gauge(
            "tamarackgap_peer_bytes",
            "Bytes sent to other daemons since the daemon started, by kind of"
            " message and by reach: near (the same data centre) or far.",
            labels,
        )
        self._leg_latency = aioprometheus.Histogram(
            "tamarackgap_leg_seconds",
            "Time from sending a request to the target to its answer.",
            const_labels=labels,
            registry=self._registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self._gauges = {
            name: self._gauge(f"tamarackgap_{name}", help_text, labels)
            for name, help_text in _GAUGES.items()
        }
        self._latency = aioprometheus.Histogram(
            "tamarackgap_request_seconds",
            "Time from a caller's request to its response.",
            const_labels=labels,
            registry=self._registry,
            buckets=_LATENCY_BUCKETS_S,
        )

    def observe_request(
        self, verdict: str, reason: str, seconds: float, route: str = ""
    ) -> None:
        """Counts a finished request of a caller.

        Args:
            verdict: Verdict of the request.
            reason: Reason of a refusal, or "".
            seconds: Time from the request to its response, seconds.
            route: Name of the request's route, or "".
        """
        self._requests.inc({"verdict": verdict, "reason": reason})
        route_label = {"route": route} if route else {}
        self._latency.observe({"verdict": verdict, **route_label}, seconds)

    def observe_leg(self, verdict: str, seconds: float | None = None) -> None:
        """Counts a request that was handed to the target.

        Args:
            verdict: Verdict of the leg.
            seconds: Time that the target took, seconds, or None if it was
                not measured.
        """
        self._legs.inc({"verdict": verdict})
        if seconds is not None:
            self._leg_latency.observe({"verdict": verdict}, seconds)

    def count_event(self, name: str) -> None:
        """Counts an event by its name."""
        self._events.inc({"event": name})

    def set_store_calls(self, counts: dict[str, int]) -> None:
        """Sets the numbers of calls to the store.

        Args:
            counts: Numbers of calls by kind and result, which a space
                separates.
        """
        for call, count in counts.items():
            kind, _, result = call.rpartition(" ")
            self._store_calls.set({"kind": kind, "result": result}, count)

    def set_peer_bytes(self, sizes: Mapping[tuple[str, bool], int]) -> None:
        """Sets the numbers of bytes sent to other daemons.

        Args:
            sizes: Bytes by kind of message, and whether they went to daemons
                of the same data centre.
        """
        for (kind, is_near), size in sizes.items():
            reach = "near" if is_near else "far"
            self._peer_bytes.set({"kind": kind, "reach": reach}, size)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets a gauge.

        Args:
            name: Name of the gauge without the prefix `tamarackgap_`.
            value: Its new value.

        Raises:
            KeyError: If there is no gauge of that name.
        """
        self._gauges[name].set({}, value)

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Returns all metrics as text, with the HTTP headers for it.

        Args:
            accept: Accept header of the request.
        """
        return renderer.render(self._registry, [accept])

    def _counter(
        self, name: str, help_text: str, labels: dict[str, str]
    ) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            name, help_text, const_labels=labels, registry=self._registry
        )

    def _gauge(
        self, name: str, help_text: str, labels: dict[str, str]
    ) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            name, help_text, const_labels=labels, registry=self._registry
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
    "owned_slots": "Slots that the daemon owns.",
    "lease_left_seconds": "Time until the lease ends.",
    "epoch": "Epoch of the lease.",
    "in_progress": "Requests in progress at the target.",
    "queued": "Requests waiting for the target.",
    "table_revision": "Revision up to which the table has been read.",
    "table_reads": "Reads of the table.",
    "table_writes": "Transactions sent to the table.",
    "peer_messages_sent": "Messages sent to other daemons.",
    "peer_bytes_sent": "Bytes sent to other daemons.",
    "peer_messages_dropped": "Messages dropped for lack of a connection.",
    "peer_messages_expired": "Messages that waited too long for the link.",
    "peer_frames_malformed": "Malformed or foreign frames from peers.",
    "renewal_lateness_seconds": "Largest delay of a renewal since the start.",
    "loop_pause_seconds": "Longest turn of the event loop since the start.",
    "held_runs": "Ranges of slots granted to the target.",
    "route_table_version": "Version of the route table in use.",
    "route_table_age_seconds": "Time since the route table in use was loaded.",
    "table_read_age_seconds": "Time since the table was last read.",
    "calls_sent_to_other_zone": "Calls sent to other data centres.",
    "open_connections": "Open connections of callers.",
    "message_bytes": "Memory of all messages under way.",
    "messages_refused_for_memory": "Messages for which there was no memory.",
    "evacuated_data_centres": "Data centres whose targets are to get no calls.",
    "calls_held_for_cold_target": "Calls that had to wait, or were refused,"
    " since the target was cold.",
}

"""Decodes the operator's configuration into a route table."""

import re
from typing import Annotated

import msgspec

from tamarackgap import decoding, logs, types
from tamarackgap.network import httpserver
from tamarackgap.traffic import routetable

# Requests of all other kinds, unknown ones too, must not be repeated.
_IDEMPOTENT_KIND = "idempotent"
_GRANT_CHANNELS = {
    "call": routetable.GrantChannel.CALL,
    "heartbeat": routetable.GrantChannel.HEARTBEAT,
}
_VERSION_BASE = 16
_VERSION_PATTERN = re.compile(r"[0-9a-fA-F]{8}")

# The largest number of 32 bits, with which sums stay exact.
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=2**31 - 1)]
# Latencies are divided by it.
_Objective = Annotated[float, msgspec.Meta(ge=1, le=2**31 - 1)]
_Number = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
# Requests per second; 0 for no limit.
_ColdRate = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]


class _Metadata(msgspec.Struct):
    name: str = ""


class _Resource(msgspec.Struct):
    # "routes", "services" or "limits"; others are ignored.
    type: str
    spec: msgspec.Raw
    metadata: _Metadata = msgspec.field(default_factory=_Metadata)


class _Configuration(msgspec.Struct):
    # Eight hexadecimal digits.
    version: str
    resources: list[msgspec.Raw]


class _Split(msgspec.Struct):
    service: str
    weight: decoding.Amount


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    timeout_ms: _Milliseconds
    target_latency_ms: _Objective
    max_attempts: _Number
    priority: _Number
    service: str = ""
    traffic_split: list[_Split] = []


class _Service(msgspec.Struct):
    max_connections: _Number = 0
    sharded: bool = False
    # How servers of the service are granted keys.
    grants: str = ""
    # Checked apart, so that an odd value spoils nothing else.
    cold_per_s: msgspec.Raw = msgspec.Raw(b"0")


class _Limits(msgspec.Struct):
    max_header_bytes: _Number
    max_body_bytes: _Number
    header_timeout_ms: _Milliseconds
    idle_timeout_ms: _Milliseconds


def decode(value: bytes) -> routetable.RouteTable | None:
    """Returns the route table in a row's value, or None if it is unreadable.

    Resources that can't be decoded are logged and left out.
    """
    try:
        configuration = decoding.decode_with_list(value, _Configuration)
        version = _version(configuration.version)
    except msgspec.MsgspecError as error:
        logs.unreadable_event("configuration_malformed", error=str(error))
        return None
    routes: list[routetable.Route] = []
    services: dict[types.ServiceName, routetable.Service] = {}
    limits = httpserver.Limits()
    is_complete = True
    for entry in configuration.resources:
        resource = None
        try:
            resource = decoding.decode(entry, _Resource)
            match resource.type:
                case "routes":
                    routes.append(_route(resource))
                case "services":
                    service = _service(resource)
                    services[service.name] = service
                case "limits":
                    limits = _limits(resource)
        except msgspec.MsgspecError as error:
            is_complete = False
            logs.unreadable_event(
                "resource_malformed",
                kind=resource.type if resource else "",
                item=resource.metadata.name if resource else "",
                error=str(error),
            )
    return routetable.RouteTable(
        version, tuple(routes), services, limits, value, is_complete
    )


def _version(text: str) -> int:
    if not _VERSION_PATTERN.fullmatch(text):
        raise msgspec.ValidationError(f"no version: {text}")
    return int(text, _VERSION_BASE)


def _route(resource: _Resource) -> routetable.Route:
    spec = decoding.decode(resource.spec, _Route)
    splits = spec.traffic_split or [_Split(spec.service, 1.0)]
    return routetable.Route(
        name=resource.metadata.name,
        host=spec.host,
        prefix=spec.path_prefix,
        shares=tuple(
            routetable.WeightedService(
                types.ServiceName(split.service), split.weight
            )
            for split in splits
            if split.weight > 0
        ),
        idempotent=spec.kind == _IDEMPOTENT_KIND,
        timeout=spec.timeout_ms / 1000,
        latency_objective=spec.target_latency_ms / 1000,
        max_attempts=spec.max_attempts,
        rank=spec.priority,
    )


def _service(resource: _Resource) -> routetable.Service:
    spec = decoding.decode(resource.spec, _Service)
    return routetable.Service(
        types.ServiceName(resource.metadata.name),
        spec.sharded,
        spec.max_connections,
        _GRANT_CHANNELS.get(spec.grants),
        _cold_rate(resource.metadata.name, spec.cold_per_s),
    )


def _cold_rate(service: str, value: msgspec.Raw) -> float:
    """Returns the rate that a cold server tolerates; 0 if it is unusable."""
    try:
        return decoding.decode(value, _ColdRate)
    except msgspec.MsgspecError as error:
        logs.unreadable_event(
            "cold_rate_unusable", service=service, error=str(error)
        )
        return 0.0


def _limits(resource: _Resource) -> httpserver.Limits:
    spec = decoding.decode(resource.spec, _Limits)
    return httpserver.Limits(
        spec.max_header_bytes,
        spec.max_body_bytes,
        spec.header_timeout_ms / 1000,
        spec.idle_timeout_ms / 1000,
    )

"""Decodes the operator's configuration into a route table."""

import msgspec

from tamarackgap import logs, types
from tamarackgap.network import httpserver
from tamarackgap.traffic import routetable

# Requests of all other kinds, unknown ones too, must not be repeated.
_IDEMPOTENT_KIND = "idempotent"
_GRANT_CHANNELS = {
    "call": routetable.GrantChannel.CALL,
    "heartbeat": routetable.GrantChannel.HEARTBEAT,
}
_VERSION_BASE = 16


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
    weight: float


class _Route(msgspec.Struct):
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    priority: int
    service: str = ""
    traffic_split: list[_Split] = []


class _Service(msgspec.Struct):
    max_connections: int = 0
    sharded: bool = False
    # How servers of the service are granted keys.
    grants: str = ""


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


def decode(value: bytes) -> routetable.RouteTable | None:
    """Returns the route table in a row's value, or None if it is unreadable.

    Resources that can't be decoded are logged and left out.
    """
    try:
        configuration = msgspec.json.decode(value, type=_Configuration)
        version = int(configuration.version, _VERSION_BASE)
    except (msgspec.MsgspecError, ValueError) as error:
        logs.event("configuration_malformed", error=str(error))
        return None
    routes: list[routetable.Route] = []
    services: dict[types.ServiceName, routetable.Service] = {}
    limits = httpserver.Limits()
    for entry in configuration.resources:
        resource = None
        try:
            resource = msgspec.json.decode(entry, type=_Resource)
            match resource.type:
                case "routes":
                    routes.append(_route(resource))
                case "services":
                    service = _service(resource)
                    services[service.name] = service
                case "limits":
                    limits = _limits(resource)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            logs.event(
                "resource_malformed",
                kind=resource.type if resource else "",
                item=resource.metadata.name if resource else "",
                error=str(error),
            )
    return routetable.RouteTable(
        version, tuple(routes), services, limits, value
    )


def _route(resource: _Resource) -> routetable.Route:
    spec = msgspec.json.decode(resource.spec, type=_Route)
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
    spec = msgspec.json.decode(resource.spec, type=_Service)
    return routetable.Service(
        types.ServiceName(resource.metadata.name),
        spec.sharded,
        spec.max_connections,
        _GRANT_CHANNELS.get(spec.grants),
    )


def _limits(resource: _Resource) -> httpserver.Limits:
    spec = msgspec.json.decode(resource.spec, type=_Limits)
    return httpserver.Limits(
        spec.max_header_bytes,
        spec.max_body_bytes,
        spec.header_timeout_ms / 1000,
        spec.idle_timeout_ms / 1000,
    )

"""Configurations of the operator stand-in."""

import typing

__all__ = ["configuration", "route"]


def route(
    host: str, prefix: str, service: str, **fields: typing.Any
) -> dict[str, typing.Any]:
    """Return a route; ``fields`` replace those of a small site."""
    return {
        "host": host,
        "prefix": prefix,
        "routeType": "safe",
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **fields,
    }


def configuration(
    version: int, services: list[str], **routes: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Return a configuration like those of a small site."""
    service = {
        "healthPath": "/health",
        "maxConnections": 130,
        "protocol": "h1",
        "tls": False,
        "warmupS": 3.0,
        "warmupPerS": 40.0,
    }
    return {
        "version": version,
        "routes": routes,
        "services": {name: service for name in services},
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }

"""Configurations of a small deployment."""

KEY = "3d3zji9n73hh2b9wu3fe"
SECOND_KEY = "xd9dnn2ctnfzs989anu6"


def make_configuration(version, **changes):
    """Return a configuration with a plain service; ``changes`` replace whole fields."""
    routes = [
        make_route("once", "/pule252/", "unsafe"),
        make_route("read", "/rapu33/", "safe", max_attempts=2),
    ]
    configuration = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "wuno96b", "health_path": "/healthz", "max_conns": 110,
             "protocol": "h1", "tls": False}
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "huka270", "api_keys": [KEY, SECOND_KEY], "priority": 1,
             "unit": "requests", "rate_per_s": 0, "burst": 0}
        ],
    }  # fmt: skip
    configuration.update(changes)
    return configuration


def make_route(name, prefix, kind, **changes):
    """Return a route; ``changes`` replace fields."""
    route = {
        "name": name, "host": "ficu95.example", "path_prefix": prefix,
        "route_kind": kind, "timeout_ms": 3000, "slo_ms": 500, "priority": 1,
        "service": "wuno96b", "max_attempts": 1, "public": False, "sticky": False,
        "resumable": False,
    }  # fmt: skip
    route.update(changes)
    return route

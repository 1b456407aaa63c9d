"""The platform's words for parts of a configuration, for messages to operators."""

import re

# By the name of the field in ``routes.model``.
_KEYS = {
    "revision": "version",
    "accounts": "tenants",
    "prefix": "path_prefix",
    "repeatability": "route_kind",
    "timeout_s": "timeout_ms",
    "latency_objective_s": "slo_ms",
    "inter_token_objective_s": "itl_target_ms",
    "attempts": "max_attempts",
    "shares": "split",
    "prompt_affinity": "sticky",
    "max_connections": "max_conns",
    "cache_tokens": "kv_capacity_tokens",
    "tokens_per_event": "stride",
    "min_endpoints": "min",
    "max_endpoints": "max",
    "reclaimable_price": "spot_price",
    "header_bytes": "max_header_bytes",
    "body_bytes": "max_body_bytes",
    "header_timeout_s": "header_timeout_ms",
    "idle_timeout_s": "idle_timeout_ms",
    "id": "name",
    "keys": "api_keys",
    "counts_tokens": "unit",
    "default_units": "uncached_tokens",
    "per_s": "rate_per_s",
}
_WORD = re.compile(r"[a-z_]+")


def translate_place(place: str) -> str:
    """Return a place or key with the platform's words.

    Examples
    --------
    >>> translate_place("accounts[2]"), translate_place("scaling.max_endpoints")
    ('tenants[2]', 'scaling.max')
    """
    return _WORD.sub(lambda match: _KEYS.get(match[0], match[0]), place)

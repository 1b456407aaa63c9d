"""Hashes of contents and secrets."""

import hashlib
import hmac

import xxhash

from tarragonway.core.ids import AccountId, AttemptId, Fingerprint, StreamKey


def hash_secret(secret: str) -> str:
    """Return the SHA-256 digest under which a caller's or operator's key is stored.

    Examples
    --------
    >>> hash_secret("demo")[:8]
    '2a97516c'
    """
    return hashlib.sha256(secret.encode()).hexdigest()


def compute_fingerprint(account: AccountId, body: bytes) -> Fingerprint:
    """Return the fingerprint of a request's content for one client account."""
    # BLAKE2b accepts keys of at most 64 bytes.
    digest = hashlib.blake2b(body, digest_size=16, key=account.encode()[:64])
    return Fingerprint(digest.hexdigest())


def compute_stream_key(account: AccountId, attempt: AttemptId) -> StreamKey:
    """Return the key of the stream that an attempt of a client account began.

    Callers choose the ids of attempts, so the key also depends on the account, has a
    fixed length of 8 bytes, and collisions cannot be constructed with little effort.
    """
    key = account.encode()[:64]
    digest = hashlib.blake2b(attempt.encode(), digest_size=8, key=key).digest()
    return StreamKey(int.from_bytes(digest, "big"))


def compute_mac(key: bytes, data: bytes) -> bytes:
    """Return the 16-byte message authentication code of ``data``."""
    return hashlib.blake2b(data, digest_size=16, key=key).digest()


def verify_mac(key: bytes, data: bytes, mac: bytes) -> bool:
    """Return whether ``mac`` belongs to ``data``, in constant time."""
    return hmac.compare_digest(compute_mac(key, data), mac)


def rank_by_hash(subject: str, names: list[str]) -> list[str]:
    """Return ``names`` in order of their rendezvous hash for ``subject``, best first.

    Examples
    --------
    >>> rank_by_hash("x", ["a", "b", "c"]) == rank_by_hash("x", ["c", "b", "a"])
    True

    References
    ----------
    Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """

    def compute_score(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{subject}\0{name}".encode())

    return sorted(names, key=compute_score, reverse=True)

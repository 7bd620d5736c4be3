"""Which tenant a key belongs to.  Settings hold hashes only; every hash is compared, each in constant time."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

from stonetrack.settings.schema import Tenant


def key_hash(key: str) -> str:
    """The form in which settings hold a key."""
    return "sha256:" + hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def bearer(header: str) -> str:
    """The key of an Authorization header, empty where there is none."""
    scheme, _, key = header.strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def tenant_of(key: str, tenants: Sequence[Tenant], any_key: bool) -> int | None:
    """The tenant's index, or None for a key that is not known; ``any_key`` takes those as the first tenant's."""
    found: int | None = None
    if key:
        given = key_hash(key).encode()
        for index, tenant in enumerate(tenants):
            for known in tenant.key_hashes:
                if hmac.compare_digest(given, known.encode()):
                    found = index
    return 0 if found is None and any_key else found

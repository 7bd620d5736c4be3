"""Maps API keys to tenants.  Settings hold only hashes; a key is compared with every hash, each in constant time."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

from stonetrack.settings.schema import Tenant


def key_hash(key: str) -> str:
    """Return a key's hash as stored in settings."""
    return "sha256:" + hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def bearer(header: str) -> str:
    """Return the key of an Authorization header, empty if it has none (RFC 6750)."""
    scheme, _, key = header.strip().partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def tenant_of(key: str, tenants: Sequence[Tenant], any_key: bool) -> int | None:
    """Return the index of the key's tenant, or None for an unknown key; with ``any_key`` these map to tenant 0."""
    found: int | None = None
    if key:
        key_digest = key_hash(key).encode()
        for index, tenant in enumerate(tenants):
            for tenant_digest in tenant.key_hashes:
                if hmac.compare_digest(key_digest, tenant_digest.encode()):
                    found = index
    return 0 if found is None and any_key else found

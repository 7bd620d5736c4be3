"""The register that stewards take their lease from: one narrow interface, and two existing stores behind it.

Inputs: keys and values, the revision that a write expects.  Outputs: entries, or what is not known (:mod:`.ports`).
``embedded`` keeps them in LMDB on one machine, ``etcd`` in etcd by its JSON gateway.  Must not depend on: what the
values mean, leases and jobs (``election``, ``controller``); no consensus is made here.
"""

"""The register that stewards take their lease from: one narrow interface, and two existing stores behind it.

In: keys and values, the revision that a write expects.  Out: entries, or what is not known (:mod:`.ports`).
``embedded`` keeps them in LMDB on one machine, ``etcd`` in etcd by its JSON gateway.  Must never touch: what the values
mean, leases and jobs (``election``, ``controller``); no consensus is made here.
"""

"""The compare-and-set store of the lease and the journals: one narrow interface, two existing stores behind it.

Inputs: keys and values, the revision that a write expects.  Outputs: entries, or that an outcome is unknown
(:mod:`.ports`).  ``embedded`` uses LMDB on one machine, ``etcd`` uses etcd through its JSON gateway.
Must not depend on: the meaning of the values, leases and jobs (``election``, ``controller``); no consensus is
implemented here.
"""

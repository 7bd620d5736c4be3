"""The audit log: which node made which decision with which version, and whether its record of that is complete.

Inputs: decisions as they are made, each with the version acting at that moment (:mod:`.audit_log`).  Outputs: spans in
a hash chain, defects of a chain (:mod:`.hash_chain`), answers that state how complete they are.  Must not depend on:
routing; a node makes the same decisions with and without an audit log.
"""

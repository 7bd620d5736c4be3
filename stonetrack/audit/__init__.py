"""The audit: which node decided which request on which version, and whether its account of that is whole.

Inputs: decisions as they fall, with the acting version of their moment (:mod:`.account`).  Outputs: spans chained by
hash, what is wrong with a chain (:mod:`.chain`), answers that say how complete they are.  Must not depend on: routing;
a node decides the same with and without an account.
"""

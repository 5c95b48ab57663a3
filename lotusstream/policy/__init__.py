"""The decision module: which endpoint runs a request, when, again, or why it is rejected.

`Gateway` takes events and returns actions (lotusstream/interface/).
"""

from lotusstream.policy.gateway import Gateway

__all__ = ["Gateway"]

"""The decision module: decides where and when a request runs, whether it is retried, and when it is rejected.

`Gateway` takes events and returns actions; both are defined in lotusstream/interface/.
"""

from lotusstream.policy.gateway import Gateway

__all__ = ["Gateway"]

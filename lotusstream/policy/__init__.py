"""All of lotusstream's decisions: `Gateway` takes events and returns actions (lotusstream/interface/)."""

from lotusstream.policy.gateway import Gateway

__all__ = ["Gateway"]

"""Host-to-host protocol: membership, gossip and forwarded requests."""

"""A storage gateway: client servers, connections to storage nodes, and an engine around ``policy``."""

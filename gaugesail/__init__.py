"""A storage gateway: fronts for clients, connections to storage nodes, and an engine around ``policy``."""

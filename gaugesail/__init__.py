"""A storage head: fronts for clients, connections to storage nodes, and an engine around ``marllift``."""

"""Simulations in virtual time: complete gateways with stand-in nodes and clients, and what they observe."""

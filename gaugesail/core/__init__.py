"""Requests, attempts and outcomes; it knows no wire."""

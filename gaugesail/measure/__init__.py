"""Measurements: figures of one run, compared with a baseline or with a required bound."""

"""Reads Apache balancer blocks and mod_jk worker files into the operator's file."""

"""Converts Apache balancer blocks and mod_jk worker files to the operator's file."""

"""The I/O of a fleet member: files, sockets and timers around the decisions of gaugesail.coordination.

agent.py executes the decisions, store.py persists the state that they depend on, link.py and wire.py
exchange messages between gateways, settings.py reads the fleet's file, and ctl.py is the operators' command.
"""

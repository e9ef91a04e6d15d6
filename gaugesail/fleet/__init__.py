"""One gateway's part in its fleet: files, sockets and clocks around the decisions of gaugesail.coordination.

agent.py carries the decisions out, store.py persists what they rest on, link.py and wire.py carry messages
between gateways, settings.py reads the fleet's file, and ctl.py is the operators' command.
"""

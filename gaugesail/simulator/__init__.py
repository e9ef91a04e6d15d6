"""The simulator's side of the gateway: its wire protocol, and the process that it starts."""

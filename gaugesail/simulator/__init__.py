"""The gateway under the simulator: the wire protocol, and the process that the simulator starts."""

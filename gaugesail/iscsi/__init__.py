"""An iSCSI-style target and initiator (RFC 7143 terms): clients before the engine, nodes behind."""

"""The iSCSI wire (RFC 7143): a target that serves clients, and an initiator that connects to nodes."""

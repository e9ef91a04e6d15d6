"""The platform's protocol: clients, nodes and discovery over HTTP/1.1."""

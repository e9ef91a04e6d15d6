"""The platform's protocol: clients, bricks and discovery over HTTP/1.1."""

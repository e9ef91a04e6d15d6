"""The engine: requests, attempts and final answers, independent of the wire protocol."""

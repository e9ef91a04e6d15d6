"""The engine: requests, their attempts and their answers, on any wire."""

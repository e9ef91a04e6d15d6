"""The messages that wait to be sent."""

from __future__ import annotations

from .messages import Message


class Outbox:
    """Messages in the order in which they were given, each with the name of its receiver."""

    def __init__(self) -> None:
        self._messages: list[tuple[str, Message]] = []

    def send(self, to: str, message: Message) -> None:
        """Put a message after the others."""
        self._messages.append((to, message))

    def drain(self) -> list[tuple[str, Message]]:
        """Return and remove all messages."""
        messages = self._messages
        self._messages = []
        return messages

"""The queue of messages to be sent."""

from __future__ import annotations

from .messages import Message


class Outbox:
    """Pending messages, each with the name of its receiver, in the order in which they were added."""

    def __init__(self) -> None:
        self._messages: list[tuple[str, Message]] = []

    def send(self, to: str, message: Message) -> None:
        """Append a message."""
        self._messages.append((to, message))

    def drain(self) -> list[tuple[str, Message]]:
        """Return and remove all pending messages."""
        messages = self._messages
        self._messages = []
        return messages

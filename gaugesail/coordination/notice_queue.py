"""The queue of notices to be logged."""

from __future__ import annotations

from collections.abc import Iterable

from .notices import Notice, NoticeField


class NoticeQueue:
    """Pending notices, in the order in which they were added."""

    def __init__(self) -> None:
        self._notices: list[Notice] = []
        self._added_keys: set[str] = set()

    def add(self, event: str, **fields: NoticeField) -> None:
        """Append a notice."""
        self._notices.append(Notice(event, fields))

    def add_once(self, key: str, event: str, **fields: NoticeField) -> None:
        """Append a notice, unless one was added with this ``key`` before."""
        if key not in self._added_keys:
            self._added_keys.add(key)
            self.add(event, **fields)

    def extend(self, notices: Iterable[Notice]) -> None:
        """Append several notices."""
        self._notices.extend(notices)

    def drain(self) -> list[Notice]:
        """Return and remove all pending notices."""
        notices = self._notices
        self._notices = []
        return notices

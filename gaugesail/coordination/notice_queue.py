"""The notices that wait to be logged."""

from __future__ import annotations

from collections.abc import Iterable

from .notices import Notice, NoticeField


class NoticeQueue:
    """Notices in the order in which they were given."""

    def __init__(self) -> None:
        self._notices: list[Notice] = []
        self._added_keys: set[str] = set()

    def add(self, event: str, **fields: NoticeField) -> None:
        """Put a notice after the others."""
        self._notices.append(Notice(event, fields))

    def add_once(self, key: str, event: str, **fields: NoticeField) -> None:
        """Put a notice after the others, unless one was given under ``key`` before."""
        if key not in self._added_keys:
            self._added_keys.add(key)
            self.add(event, **fields)

    def extend(self, notices: Iterable[Notice]) -> None:
        """Put several notices after the others."""
        self._notices.extend(notices)

    def drain(self) -> list[Notice]:
        """Return and remove all notices."""
        notices = self._notices
        self._notices = []
        return notices

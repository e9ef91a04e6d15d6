"""The records of a long list are frozen once, and again only when the list has grown much."""

from __future__ import annotations

import gc

import pytest

from gaugesail.long_lived_memory import LongLivedMemory


def test_whole_lists_are_frozen_when_they_have_grown(monkeypatch: pytest.MonkeyPatch) -> None:
    calls: list[str] = []
    monkeypatch.setattr(gc, "collect", lambda: calls.append("collect"))
    monkeypatch.setattr(gc, "freeze", lambda: calls.append("freeze"))
    memory = LongLivedMemory()
    for servers in (1_000, 1_000, 1_200, 900):
        memory.list_received(servers)
    assert calls == ["collect", "freeze"]
    memory.list_received(3_000)
    assert calls == ["collect", "freeze"] * 2

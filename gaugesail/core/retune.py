"""New settings while the head runs: what is in force while clients use both the old and the new."""

from __future__ import annotations

from dataclasses import replace

from gaugesail.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

BOTH_US = 1_500_000  # clients use the new settings 1.2 s after they are told
_EFFECTS = (
    Idempotency.IDEMPOTENT,
    Idempotency.KEYED,
    Idempotency.NOT_IDEMPOTENT,
)  # each stricter than the one before
_GROUPS = (DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.SHARD)


def between(old: Settings, new: Settings) -> Settings:
    """The new settings with what the old ones had besides, and of what changed the stricter."""
    before = {spec.name: spec for spec in old.classes}
    classes = [_stricter(before.pop(spec.name, spec), spec) for spec in new.classes]
    names = {plan.name for plan in new.plans}
    return replace(
        new,
        classes=(*classes, *before.values()),
        plans=(*new.plans, *(plan for plan in old.plans if plan.name not in names)),
        max_attempts=min(old.max_attempts, new.max_attempts),
    )


def _stricter(old: RequestClass, new: RequestClass) -> RequestClass:
    """A class that both have: nobody may be cut short, and nothing repeated that one of them forbids."""
    return replace(
        new,
        deadline_us=max(old.deadline_us, new.deadline_us),
        idempotency=max(old.idempotency, new.idempotency, key=_EFFECTS.index),
        deduplication_scope=max(old.deduplication_scope, new.deduplication_scope, key=_GROUPS.index),
        deduplication_window_us=min(old.deduplication_window_us, new.deduplication_window_us),
        ordered=old.ordered or new.ordered,
    )

"""The settings in force during a change, while clients use both the old and the new ones."""

from __future__ import annotations

from dataclasses import replace

from gaugesail.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

TRANSITION_US = 1_500_000  # how long both settings apply: clients switch within 1.2 s of a notification
# In increasing order of strictness.
_IDEMPOTENCY_BY_STRICTNESS = (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NOT_IDEMPOTENT)
_SCOPES_BY_STRICTNESS = (DeduplicationScope.ALL, DeduplicationScope.ZONE, DeduplicationScope.SHARD)


def transition_settings(old: Settings, new: Settings) -> Settings:
    """The new settings, plus the classes and plans that only the old ones have, and the stricter values."""
    old_classes = {spec.name: spec for spec in old.classes}
    classes = [_stricter(old_classes.pop(spec.name, spec), spec) for spec in new.classes]
    plan_names = {plan.name for plan in new.plans}
    return replace(
        new,
        classes=(*classes, *old_classes.values()),
        plans=(*new.plans, *(plan for plan in old.plans if plan.name not in plan_names)),
        max_attempts=min(old.max_attempts, new.max_attempts),
    )


def _stricter(old: RequestClass, new: RequestClass) -> RequestClass:
    """Merge a class that both settings have: the longer deadline, and no retry that either one forbids."""
    return replace(
        new,
        deadline_us=max(old.deadline_us, new.deadline_us),
        idempotency=max(old.idempotency, new.idempotency, key=_IDEMPOTENCY_BY_STRICTNESS.index),
        deduplication_scope=max(
            old.deduplication_scope, new.deduplication_scope, key=_SCOPES_BY_STRICTNESS.index
        ),
        deduplication_window_us=min(old.deduplication_window_us, new.deduplication_window_us),
        ordered=old.ordered or new.ordered,
    )

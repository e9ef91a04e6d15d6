"""Buffers of one size, used again from a bounded pool, and bodies held in them."""

from __future__ import annotations

BUFFER_BYTES = 4096


class PoolEmpty(Exception):
    """All buffers that the memory limit allows are in use."""


class BufferPool:
    """Hands out buffers of one size; never more than ``limit`` of them are out."""

    def __init__(self, limit: int, keep: int = 1024, size: int = BUFFER_BYTES) -> None:
        if limit < 1 or size < 1:
            raise ValueError("a pool needs at least one buffer of at least one byte")
        self.size, self.limit, self.out = size, limit, 0
        self._keep, self._free = keep, list[bytearray]()

    def trim(self, limit: int) -> None:
        """Another limit; buffers that are not in use go back to the system."""
        self.limit = limit
        self._free.clear()

    def take(self) -> bytearray:
        """One buffer.  Raises PoolEmpty where the limit is reached."""
        if self.out >= self.limit:
            raise PoolEmpty(f"{self.out} buffers of {self.size} bytes are in use")
        self.out += 1
        return self._free.pop() if self._free else bytearray(self.size)

    def give(self, buffer: bytearray) -> None:
        """A buffer that ``take`` gave is free again."""
        self.out -= 1
        if len(self._free) < self._keep:
            self._free.append(buffer)


class Body:
    """Bytes of one message, in pooled buffers; given back by ``release``, which may be called twice."""

    __slots__ = ("_buffers", "_pool", "length")

    def __init__(self, pool: BufferPool) -> None:
        self._pool, self.length = pool, 0
        self._buffers: list[bytearray] = []

    def append(self, data: bytes | memoryview) -> None:
        """Add bytes at the end.  Raises PoolEmpty where the pool has no buffer left."""
        view, size = memoryview(data), self._pool.size
        while view:
            used = self.length % size
            if used == 0:
                self._buffers.append(self._pool.take())
            part = view[: size - used]
            self._buffers[-1][used : used + len(part)] = part
            self.length += len(part)
            view = view[len(part) :]

    def read(self) -> bytes:
        """The whole body."""
        if not self._buffers:
            return b""
        joined = b"".join(self._buffers) if len(self._buffers) > 1 else self._buffers[0]
        return bytes(memoryview(joined)[: self.length])

    def release(self) -> None:
        """Give all buffers back; the body is empty afterwards."""
        buffers, self._buffers, self.length = self._buffers, [], 0
        for buffer in buffers:
            self._pool.give(buffer)

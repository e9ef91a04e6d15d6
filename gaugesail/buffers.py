"""A bounded pool of reusable buffers of one size, and message bodies stored in them."""

from __future__ import annotations

BUFFER_BYTES = 4096


class PoolEmpty(Exception):
    """The pool's limit is reached."""


class BufferPool:
    """Lends buffers of ``size`` bytes, at most ``limit`` at a time; up to ``keep`` free ones are reused."""

    def __init__(self, limit: int, keep: int = 1024, size: int = BUFFER_BYTES) -> None:
        if limit < 1 or size < 1:
            raise ValueError(f"expected a limit and a size of at least 1, got {limit} and {size}")
        self.size, self.limit, self.out = size, limit, 0
        self._keep, self._free = keep, list[bytearray]()

    def trim(self, limit: int) -> None:
        """Change the limit, and release all free buffers to the system."""
        self.limit = limit
        self._free.clear()

    def acquire(self) -> bytearray:
        """Return a buffer; raises PoolEmpty if the limit is reached."""
        if self.out >= self.limit:
            raise PoolEmpty(f"{self.out} of {self.limit} buffers of {self.size} bytes are in use")
        self.out += 1
        return self._free.pop() if self._free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer that ``acquire`` lent."""
        self.out -= 1
        if len(self._free) < self._keep:
            self._free.append(buffer)


class Body:
    """The bytes of one message, in pooled buffers, which ``release`` returns to the pool."""

    __slots__ = ("_buffers", "_pool", "length")

    def __init__(self, pool: BufferPool) -> None:
        self._pool, self.length = pool, 0
        self._buffers: list[bytearray] = []

    def append(self, data: bytes | memoryview) -> None:
        """Append bytes; raises PoolEmpty if the pool's limit is reached."""
        view, size = memoryview(data), self._pool.size
        while view:
            used = self.length % size
            if used == 0:
                self._buffers.append(self._pool.acquire())
            part = view[: size - used]
            self._buffers[-1][used : used + len(part)] = part
            self.length += len(part)
            view = view[len(part) :]

    def read(self) -> bytes:
        """The complete body."""
        if not self._buffers:
            return b""
        joined = b"".join(self._buffers) if len(self._buffers) > 1 else self._buffers[0]
        return bytes(memoryview(joined)[: self.length])

    def release(self) -> None:
        """Return all buffers to the pool; the body is empty afterwards, and may be released again."""
        buffers, self._buffers, self.length = self._buffers, [], 0
        for buffer in buffers:
            self._pool.release(buffer)

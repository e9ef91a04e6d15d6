"""A bounded pool of reusable buffers of one size, and message bodies stored in them."""

from __future__ import annotations

from collections.abc import Callable

BUFFER_BYTES = 4096
SMALL_BODY_DIVISOR = 8  # 1/8 of a pool is left to bodies of one buffer
KEPT_DIVISOR = 8  # a pool keeps 1/8 of its buffers for reuse, and returns the others to the allocator
DEFAULT_IO_BYTES = 16 * 1024


class PoolEmpty(Exception):
    """The pool's limit is reached."""


class BufferPool:
    """Lends buffers of ``size`` bytes, at most ``limit`` at a time.

    Memory that is held in another form is counted by ``charge``, as so many buffers.  When the limit is
    reached, ``make_room`` is called, and for answers ``refuse_new_work`` after it: a node has worked on what
    is being answered.  Each returns whether it has freed any.

    :param io_bytes: what is read at once from a connection, and written before its source is paused.
    """

    def __init__(self, limit: int, size: int = BUFFER_BYTES, io_bytes: int = DEFAULT_IO_BYTES) -> None:
        if limit < 1 or size < 1:
            raise ValueError(f"expected a limit and a size of at least 1, got {limit} and {size}")
        self.size, self.limit, self.out = size, limit, 0
        self.io_bytes = io_bytes
        self.make_room: Callable[[], bool] = lambda: False
        self.refuse_new_work: Callable[[], bool] = lambda: False
        self._free = list[bytearray]()

    def trim(self, limit: int, io_bytes: int) -> None:
        """Change the limits, and release all free buffers to the system."""
        self.limit = limit
        self.io_bytes = io_bytes
        self._free.clear()

    @property
    def large_body_limit(self) -> int:
        """The number of buffers up to which bodies of more than one may take further ones."""
        return self.limit - self.limit // SMALL_BODY_DIVISOR

    def acquire(self, is_first: bool = True, for_answer: bool = False) -> bytearray:
        """Return a buffer; raises PoolEmpty if the limit is reached.

        :param is_first: of its body; further ones of a request leave a part of the pool to small bodies.
        """
        limit = self.limit if is_first or for_answer else self.large_body_limit
        self.reserve(1, limit, for_answer)
        return self._free.pop() if self._free else bytearray(self.size)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer that ``acquire`` lent."""
        self.out -= 1
        if len(self._free) < self.limit // KEPT_DIVISOR:
            self._free.append(buffer)

    def reserve(self, count: int, limit: int | None = None, for_answer: bool = False) -> None:
        """Count ``count`` buffers as lent; raises PoolEmpty, and counts none, if they exceed the limit.

        :param limit: up to which these may be lent, by default that of the pool.
        :param for_answer: whether they are for an answer, for which new work is refused.
        """
        limit = self.limit if limit is None else limit
        while self.out + count > limit:
            if not (self.make_room() or (for_answer and self.refuse_new_work())):
                raise PoolEmpty(f"{self.out} of {limit} buffers of {self.size} bytes are in use")
        self.out += count

    def buffers_for(self, byte_count: int) -> int:
        """The number of buffers that hold so many bytes."""
        return -(-byte_count // self.size)

    def charge(self, byte_count: int) -> None:
        """Count memory that an answer holds already, even beyond the limit."""
        self.out += self.buffers_for(byte_count)
        while self.out > self.limit and (self.make_room() or self.refuse_new_work()):
            pass

    def refund(self, count: int) -> None:
        """Count ``count`` buffers of ``reserve`` or ``charge`` as returned."""
        self.out -= count


class Body:
    """The bytes of one message, in pooled buffers, which ``release`` returns to the pool.

    :param is_answer: whether it is the answer to a request, for which new work is refused.
    """

    __slots__ = ("_buffers", "_is_answer", "_pool", "_reserved", "length")

    def __init__(self, pool: BufferPool, is_answer: bool = False) -> None:
        self._pool, self.length = pool, 0
        self._is_answer = is_answer
        self._buffers: list[bytearray] = []
        self._reserved = 0

    def reserve(self, byte_count: int) -> None:
        """Count further memory that is held with the body; raises PoolEmpty if the limit is reached."""
        count = self._pool.buffers_for(byte_count)
        self._pool.reserve(count)
        self._reserved += count

    def append(self, data: bytes | memoryview) -> None:
        """Append bytes; raises PoolEmpty if the pool's limit is reached."""
        view, size = memoryview(data), self._pool.size
        while view:
            used = self.length % size
            if used == 0:
                self._buffers.append(self._pool.acquire(not self._buffers, self._is_answer))
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
        self._pool.refund(self._reserved)
        self._reserved = 0

"""Builds the library of ``shim.c`` and controls it in a running process through a file that both map.

The library is compiled with the system's C compiler when it is first needed; only tests and
`gaugesail trial` need it.  ``step_wall_clock`` and ``fail`` apply to every process that was started with
``environment()``.
"""

from __future__ import annotations

import enum
import errno
import mmap
import shutil
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
SHORT = -1  # in place of an error number: the call reads or writes one byte
_HEADER_BYTES = 16
_FAULT = struct.Struct("<qq")  # the error, and how many further calls fail


class Call(enum.IntEnum):
    """The calls that can be made to fail, in the order of ``enum call`` in shim.c."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECV = 3
    SEND = 4
    WAIT = 5
    WRITE = 6  # of regular files
    SYNC = 7
    RENAME = 8
    OPEN = 9  # for writing
    UNLINK = 10


# The errors that the manual pages document for each call; a gateway must survive them for a while.
DOCUMENTED: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR,
                  errno.EPROTO, errno.EPERM),
    Call.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ECONNREFUSED, errno.ETIMEDOUT,
                   errno.EHOSTUNREACH, errno.EAGAIN),
    Call.RECV: (errno.EINTR, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.EAGAIN, SHORT),
    Call.SEND: (errno.EINTR, errno.EAGAIN, errno.ENOBUFS, errno.EPIPE, errno.ECONNRESET, errno.EHOSTUNREACH,
                SHORT),
    Call.WAIT: (errno.EINTR,),
    Call.WRITE: (errno.ENOSPC, errno.EIO, errno.EDQUOT),
    Call.SYNC: (errno.EIO, errno.ENOSPC),
    Call.RENAME: (errno.ENOSPC, errno.EIO),
    Call.UNLINK: (errno.EIO, errno.EROFS),
    Call.OPEN: (errno.ENOSPC, errno.EMFILE, errno.EROFS),
}  # fmt: skip


class NoCompiler(RuntimeError):
    """No C compiler is installed, which building the library requires."""


def build(folder: Path) -> Path:
    """Compile the library into ``folder``, unless it is there, and return its path.

    Raises NoCompiler, or CalledProcessError if the compiler fails.
    """
    compiler = shutil.which("cc") or shutil.which("gcc") or shutil.which("clang")
    if compiler is None:
        raise NoCompiler(
            "expected a C compiler (cc, gcc or clang) on the PATH for fault injection, found none"
        )
    library = folder / "shim.so"
    if not library.exists():
        command = [compiler, "-O2", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True, capture_output=True, text=True)
    return library


class Faults:
    """Controls the faults of the processes that are started with its environment, through a mapped file."""

    def __init__(self, library: Path, control: Path) -> None:
        self._library, self._path = library, control
        control.write_bytes(bytes(_HEADER_BYTES + _FAULT.size * len(Call)))
        with control.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """The environment variables that a process needs in order to load the library."""
        return {"LD_PRELOAD": str(self._library), "GAUGESAIL_FAULTS": str(self._path)}

    @property
    def wall_step_s(self) -> float:
        """How far the wall clock of the process is ahead, in seconds; negative where it is behind."""
        return float(struct.unpack_from("<q", self._map, 0)[0]) / 1e9

    def step_wall_clock(self, seconds: float) -> None:
        """Step the wall clock further by ``seconds``, back if negative."""
        struct.pack_into("<q", self._map, 0, round((self.wall_step_s + seconds) * 1e9))

    @property
    def hits(self) -> int:
        """The number of calls that were made to fail so far."""
        return int(struct.unpack_from("<q", self._map, 8)[0])

    def fail(self, call: Call, error: int, times: int) -> None:
        """Let the next ``times`` calls fail with ``error``, an errno or SHORT; 0 times ends the fault."""
        _FAULT.pack_into(self._map, _HEADER_BYTES + _FAULT.size * call, error, times)

    def clear(self) -> None:
        """End all failures of calls; the wall clock keeps its step."""
        for call in Call:
            self.fail(call, 0, 0)

    def close(self) -> None:
        """Unmap the control file."""
        self._map.close()

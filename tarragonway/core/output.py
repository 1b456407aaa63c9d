"""Log output that never blocks and is bounded."""

import os
import stat
import time
from collections.abc import Callable

LINES_A_SECOND = 1000


class BoundedOutput:
    """Writes lines to a file descriptor, and drops them rather than wait.

    At most ``lines_a_second`` lines are written; what was dropped is told once there is
    room again.

    Parameters
    ----------
    descriptor : int
        Where to write. A pipe or socket is set not to block.
    lines_a_second : int
        Bound on the lines.
    read_clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        lines_a_second: int = LINES_A_SECOND,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._most = lines_a_second
        self._read_clock = read_clock
        self._second = 0
        self._lines = 0
        self._cut = False
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write one line if there is room."""
        second = int(self._read_clock())
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= self._most:
            self.dropped += 1
            return 0
        self._lines += 1
        if self.dropped:
            text = f'{{"event": "lines dropped", "count": {self.dropped}}}\n{text}'
        if self._cut:
            # The line before was written in part.
            text = f"\n{text}"
        if self._write(text.encode()):
            self.dropped = 0
        else:
            self.dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: every line is written at once."""

    def _write(self, data: bytes) -> bool:
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            return False
        self._cut = written < len(data)
        return not self._cut

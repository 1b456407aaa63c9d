"""Log output that never blocks and limits the number of lines per second."""

import os
import stat
import time
from collections.abc import Callable

MAX_LINES_PER_S = 1000


class BoundedOutput:
    """Writes lines to a file descriptor, and drops lines that would have to wait.

    At most ``max_lines_per_s`` lines are written per second. The next line that can be
    written is preceded by one with the number of dropped lines.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to. A pipe or socket is made non-blocking.
    max_lines_per_s : int
        Largest number of lines per second.
    read_clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        descriptor: int,
        max_lines_per_s: int = MAX_LINES_PER_S,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._read_clock = read_clock
        self._second = 0
        self._lines = 0
        self._line_truncated = False
        self.dropped = 0

    def write(self, text: str) -> int:
        """Write one line, or drop it if the limit or the reader leaves no room."""
        second = int(self._read_clock())
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= self._max_lines_per_s:
            self.dropped += 1
            return 0
        self._lines += 1
        if self.dropped:
            text = f'{{"event": "lines dropped", "count": {self.dropped}}}\n{text}'
        if self._line_truncated:
            # The previous line was written only in part and has no line break.
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
        except OSError:
            # The pipe is full or nobody reads it any more, or the disk is full.
            return False
        self._line_truncated = written < len(data)
        return not self._line_truncated

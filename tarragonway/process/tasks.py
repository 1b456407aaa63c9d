"""Background tasks of a process and their cancellation."""

import asyncio
from collections.abc import Coroutine
from typing import Any

CANCEL_RETRY_INTERVAL_S = 0.1


class BackgroundTasks:
    """Starts and cancels the background tasks of a process.

    ``failure`` completes with an exception when a task that should run as long as the
    process has ended.
    """

    def __init__(self) -> None:
        self._permanent_tasks: list[asyncio.Task] = []
        self._temporary_tasks: set[asyncio.Task] = set()
        self.failure: asyncio.Future = asyncio.Future()

    def _start_permanent_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a task that runs as long as the process; its end is a failure."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._handle_task_end)
        self._permanent_tasks.append(task)

    def _start_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Start a task that may end before the process does."""
        task = asyncio.create_task(coroutine)
        self._temporary_tasks.add(task)
        task.add_done_callback(self._temporary_tasks.discard)

    async def _end_tasks(self) -> None:
        """Cancel all tasks and wait until each has ended."""
        await cancel_tasks({*self._permanent_tasks, *self._temporary_tasks})

    def _handle_task_end(self, task: asyncio.Task) -> None:
        if task.cancelled() or self.failure.done():
            return
        self.failure.set_exception(task.exception() or RuntimeError("a task ended"))


async def cancel_tasks(tasks: set[asyncio.Task]) -> None:
    """Cancel tasks repeatedly until all have ended.

    ``asyncio.wait_for`` of Python 3.11 loses a cancellation that arrives together with
    the result that it waits for, so that cancelling once is not always enough.
    """
    pending = tasks
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL_S)

import asyncio

from tarragonway.process.tasks import cancel_tasks


async def test_task_that_loses_a_cancellation_is_cancelled_again():
    lost = []

    async def work():
        while True:
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                if lost:
                    raise
                lost.append(True)

    task = asyncio.create_task(work())
    await asyncio.sleep(0)
    await cancel_tasks({task})
    assert lost and task.cancelled()

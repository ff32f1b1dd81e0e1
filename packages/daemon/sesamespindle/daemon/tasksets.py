"""Tasks that run beside others and are cancelled together."""

import asyncio


class TaskSet:
    """Owns tasks; leaving it as a context manager cancels those still running."""

    def __init__(self):
        self._tasks = set()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.close()

    async def close(self):
        """Cancel the tasks still running, and wait for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def __len__(self):
        return len(self._tasks)

    def spawn(self, coroutine):
        """Start a coroutine; return its `asyncio.Task`."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

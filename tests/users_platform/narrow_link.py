"""Link stand-in: bytes a second that connections share in order."""

import asyncio
import time

__all__ = ["NarrowLink"]


class NarrowLink:
    """One direction of a VM's link, with a queue that nothing bounds."""

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Return when ``size`` bytes have passed, after those before."""
        now = time.monotonic()
        start = max(now, self._free_at)
        self._free_at = start + size / self._bytes_per_second
        await asyncio.sleep(self._free_at - now)

"""Tree: who hands a push on to whom, computed alike by every node.

The nodes of a zone, in the order of their names, are permuted by a seed
and form a heap-like tree with a fixed fanout. The seed comes from the
version that is pushed, so that inner nodes change from push to push.
"""

from collections import abc
import math
import random

import attrs

__all__ = ["FANOUT", "FanoutTree"]

FANOUT = 8


@attrs.frozen
class FanoutTree:
    """A tree over ``size`` members, seeded by ``seed``.

    Positions are places in the tree, 0 being the root; indexes are
    places in the sorted list. Both directions cost the same at any
    size: index = (step * position + offset) modulo size.

    Example::

        tree = Tree.seeded(100, seed=17)
        children = tree.children(tree.position(own_index))
    """

    size: int
    step: int
    offset: int

    @classmethod
    def seeded(cls, size: int, seed: int) -> "FanoutTree":
        """Return the tree of ``seed``; ``size`` is at least 1."""
        rng = random.Random(seed)
        step = rng.randrange(1, size + 1)
        while math.gcd(step, size) != 1:
            step = rng.randrange(1, size + 1)
        return cls(size, step, rng.randrange(size))

    def index(self, position: int) -> int:
        """Return the place in the sorted list of a tree position."""
        return (self.step * position + self.offset) % self.size

    def position(self, index: int) -> int:
        """Return the tree position of a place in the sorted list."""
        if self.size == 1:
            return 0
        inverse = pow(self.step, -1, self.size)
        return (index - self.offset) * inverse % self.size

    def children(self, position: int) -> abc.Iterable[int]:
        """Return the positions below ``position``."""
        first = position * FANOUT + 1
        return range(first, min(first + FANOUT, self.size))

    def parent(self, position: int) -> int | None:
        """Return the position above ``position``; None at the root."""
        return None if position == 0 else (position - 1) // FANOUT

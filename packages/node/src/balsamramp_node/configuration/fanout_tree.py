"""A seeded fan-out tree over the nodes of a zone.

Every node computes the same tree without coordination: the nodes of a
zone, sorted by name, are permuted by a seed and laid out as a heap with
a fixed fanout. The inner nodes, which forward messages, differ by seed, so
the forwarding load is spread over the zone.
"""

from collections import abc
import math
import random

import attrs

__all__ = ["FANOUT", "FanoutTree"]

FANOUT = 8


@attrs.frozen
class FanoutTree:
    """A tree over ``size`` members.

    A position is a node's place in the tree, 0 for the root; an index is
    its place in the sorted list. They are converted without building
    the whole tree, by index = (step * position + offset) modulo size.
    ``step`` is coprime to ``size``, so each index has one position.

    Example::

        tree = FanoutTree.seeded(100, seed=17)
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
        """Return the index in the sorted list for a tree position."""
        return (self.step * position + self.offset) % self.size

    def position(self, index: int) -> int:
        """Return the tree position for an index in the sorted list."""
        if self.size == 1:
            return 0
        inverse = pow(self.step, -1, self.size)
        return (index - self.offset) * inverse % self.size

    def children(self, position: int) -> abc.Iterable[int]:
        """Return the positions of the children of ``position``."""
        first = position * FANOUT + 1
        return range(first, min(first + FANOUT, self.size))

    def parent(self, position: int) -> int | None:
        """Return the position of the parent; None for the root."""
        return None if position == 0 else (position - 1) // FANOUT

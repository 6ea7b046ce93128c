"""Index of prompt prefixes: which engine is believed to hold how much of each.

A radix tree over chained block hashes. Equal hashes at a depth imply equal prefixes,
so a run is compared by its last hash, and a branch point is found by bisection.
"""

from collections import OrderedDict

from attrs import define, field, frozen

from rosemaryyoke.placement.blocks import Chain

MAX_BLOCKS = 80_000
MAX_NODES = 30_000


@define(eq=False)
class Holding:
    """What an engine holds of one run, and its insertion count when last used."""

    incarnation: str
    blocks: int
    insertions: int


@define(eq=False)
class Node:
    """A run of blocks that requests share as a whole."""

    run: Chain
    parent: "Node | None" = None
    children: dict[bytes, "Node"] = field(factory=dict)
    holders: dict[str, Holding] = field(factory=dict)
    kept_blocks: int = 0


@frozen
class Step:
    """A node on a chain's way and how much of its run the chain shares."""

    node: Node
    shared: int


def shared_length(run: Chain, chain: Chain, start: int) -> int:
    """Return how many blocks of ``run`` equal the chain's from ``start``."""
    limit = min(len(run), len(chain) - start)
    if limit <= 0 or run[0] != chain[start]:
        return 0
    if run[limit - 1] == chain[start + limit - 1]:
        return limit
    low, high = 1, limit - 1
    while low < high:
        middle = (low + high + 1) // 2
        if run[middle - 1] == chain[start + middle - 1]:
            low = middle
        else:
            high = middle - 1
    return low


class PrefixIndex:
    """Radix tree with bounded numbers of blocks and nodes."""

    def __init__(self, max_blocks: int = MAX_BLOCKS, max_nodes: int = MAX_NODES):
        self.max_blocks = max_blocks
        self.max_nodes = max_nodes
        self.root = Node([])
        self.blocks = 0
        self.recent: OrderedDict[int, Node] = OrderedDict()

    def walk(self, chain: Chain) -> list[Step]:
        """Return the nodes that a chain passes, widest first."""
        steps = []
        node, start = self.root, 0
        while start < len(chain):
            child = node.children.get(chain[start])
            if child is None:
                break
            shared = shared_length(child.run, chain, start)
            steps.append(Step(child, shared))
            if shared < len(child.run):
                break
            node, start = child, start + shared
        return steps

    def insert(self, chain: Chain) -> list[Node]:
        """Make the chain a way of whole nodes and return them, widest first."""
        path = []
        start = 0
        node = self.root
        for step in self.walk(chain):
            if step.shared < len(step.node.run):
                self._split(step.node, step.shared)
            node = step.node
            start += step.shared
            path.append(node)
        if start < len(chain):
            path.append(self._add(node, chain[start:]))
        for item in reversed(path):
            self.recent[id(item)] = item
            self.recent.move_to_end(id(item))
        self._evict()
        return path

    def _add(self, parent: Node, run: Chain) -> Node:
        node = Node(run, parent)
        parent.children[run[0]] = node
        self.blocks += len(run)
        return node

    def _split(self, node: Node, length: int) -> None:
        lower = Node(node.run[length:], node, node.children)
        lower.kept_blocks = max(0, node.kept_blocks - length)
        for child in lower.children.values():
            child.parent = lower
        for name, holding in node.holders.items():
            if holding.blocks > length:
                lower.holders[name] = Holding(
                    holding.incarnation, holding.blocks - length, holding.insertions
                )
                holding.blocks = length
        node.run = node.run[:length]
        node.kept_blocks = min(node.kept_blocks, length)
        node.children = {lower.run[0]: lower}
        self.recent[id(lower)] = lower
        self.recent.move_to_end(id(lower), last=False)

    def _evict(self) -> None:
        while self.blocks > self.max_blocks or len(self.recent) > self.max_nodes:
            _, node = self.recent.popitem(last=False)
            if node.children:
                self.recent[id(node)] = node
                continue
            self.blocks -= len(node.run)
            node.parent.children.pop(node.run[0], None)

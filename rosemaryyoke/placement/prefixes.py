"""Index of prompt prefixes and of the engines that presumably have them cached.

The index is a radix tree over chained block hashes. Equal hashes at the same depth
imply equal prefixes, so two block sequences are compared by their last hashes, and the
point where they diverge is found by bisection.
"""

from collections import OrderedDict

from attrs import define, field, frozen

from rosemaryyoke.placement.blocks import Chain

MAX_BLOCKS = 80_000
MAX_NODES = 30_000


@define(eq=False)
class CacheRecord:
    """The cached part of one node's blocks at an engine.

    ``insertions`` is the engine's insertion count when the blocks were last used.
    """

    incarnation: str
    blocks: int
    insertions: int


@define(eq=False)
class Node:
    """A radix tree node: consecutive block hashes without a branch between them."""

    hashes: Chain
    parent: "Node | None" = None
    children: dict[bytes, "Node"] = field(factory=dict)
    cache_records: dict[str, CacheRecord] = field(factory=dict)
    stored_blocks: int = 0


@frozen
class PrefixMatch:
    """A node on a chain's path and the number of its blocks that match the chain."""

    node: Node
    matched_blocks: int


def common_length(hashes: Chain, chain: Chain, start: int) -> int:
    """Return how many leading ``hashes`` equal those of the chain at ``start``."""
    limit = min(len(hashes), len(chain) - start)
    if limit <= 0 or hashes[0] != chain[start]:
        return 0
    if hashes[limit - 1] == chain[start + limit - 1]:
        return limit
    low, high = 1, limit - 1
    while low < high:
        middle = (low + high + 1) // 2
        if hashes[middle - 1] == chain[start + middle - 1]:
            low = middle
        else:
            high = middle - 1
    return low


class PrefixIndex:
    """Radix tree with LRU eviction by the numbers of blocks and nodes."""

    def __init__(self, max_blocks: int = MAX_BLOCKS, max_nodes: int = MAX_NODES):
        self.max_blocks = max_blocks
        self.max_nodes = max_nodes
        self.root = Node([])
        self.blocks = 0
        self.lru_nodes: OrderedDict[int, Node] = OrderedDict()

    def match_prefix(self, chain: Chain) -> list[PrefixMatch]:
        """Return the matching nodes along a chain, starting at the root."""
        matches = []
        node, start = self.root, 0
        while start < len(chain):
            child = node.children.get(chain[start])
            if child is None:
                break
            matched_blocks = common_length(child.hashes, chain, start)
            matches.append(PrefixMatch(child, matched_blocks))
            if matched_blocks < len(child.hashes):
                break
            node, start = child, start + matched_blocks
        return matches

    def insert(self, chain: Chain) -> list[Node]:
        """Insert a chain, splitting nodes if needed, and return its path of nodes."""
        path = []
        start = 0
        node = self.root
        for match in self.match_prefix(chain):
            if match.matched_blocks < len(match.node.hashes):
                self._split(match.node, match.matched_blocks)
            node = match.node
            start += match.matched_blocks
            path.append(node)
        if start < len(chain):
            path.append(self._add(node, chain[start:]))
        for item in reversed(path):
            self.lru_nodes[id(item)] = item
            self.lru_nodes.move_to_end(id(item))
        self._evict()
        return path

    def _add(self, parent: Node, hashes: Chain) -> Node:
        node = Node(hashes, parent)
        parent.children[hashes[0]] = node
        self.blocks += len(hashes)
        return node

    def _split(self, node: Node, length: int) -> None:
        lower = Node(node.hashes[length:], node, node.children)
        lower.stored_blocks = max(0, node.stored_blocks - length)
        for child in lower.children.values():
            child.parent = lower
        for name, record in node.cache_records.items():
            if record.blocks > length:
                lower.cache_records[name] = CacheRecord(
                    record.incarnation, record.blocks - length, record.insertions
                )
                record.blocks = length
        node.hashes = node.hashes[:length]
        node.stored_blocks = min(node.stored_blocks, length)
        node.children = {lower.hashes[0]: lower}
        self.lru_nodes[id(lower)] = lower
        self.lru_nodes.move_to_end(id(lower), last=False)

    def _evict(self) -> None:
        while self.blocks > self.max_blocks or len(self.lru_nodes) > self.max_nodes:
            _, node = self.lru_nodes.popitem(last=False)
            if node.children:
                self.lru_nodes[id(node)] = node
                continue
            self.blocks -= len(node.hashes)
            node.parent.children.pop(node.hashes[0], None)

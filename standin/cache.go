package standin

import "container/list"

// prefixCache is an LRU cache of prompt blocks, by their chained hashes.
type prefixCache struct {
	capacity int
	blocks   map[uint64]*list.Element
	lru      *list.List // least recently used first
	added    uint64
	evicted  uint64
	onChange func(block uint64, held bool)
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// hits returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) hits(blocks []uint64) int {
	for i, block := range blocks {
		element := c.blocks[block]
		if element == nil {
			return i
		}
		c.lru.MoveToBack(element)
	}
	return len(blocks)
}

// add caches the blocks and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) add(blocks []uint64) {
	for _, block := range blocks {
		if element := c.blocks[block]; element != nil {
			c.lru.MoveToBack(element)
			continue
		}
		c.blocks[block] = c.lru.PushBack(block)
		c.added++
		c.onChange(block, true)
	}
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Front()
		delete(c.blocks, oldest.Value.(uint64))
		c.lru.Remove(oldest)
		c.evicted++
		c.onChange(oldest.Value.(uint64), false)
	}
}

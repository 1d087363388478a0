package standin

import "container/list"

// prefixCache is an LRU cache of prompt blocks. A block is known by its chained hash (see completionRequest.blocks).
type prefixCache struct {
	capacity int // in blocks
	blocks   map[uint64]*list.Element
	lru      *list.List // least recently used first
	added    uint64     // blocks added since the cache was created
	evicted  uint64     // blocks evicted since the cache was created
	// onChange is called after a block was added (held is true) or evicted (held is false).
	onChange func(block uint64, held bool)
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// hits returns how many leading blocks are cached and marks these as most recently used.
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

// add caches the blocks, or marks those already cached as most recently used, and then evicts the least recently used
// blocks beyond the capacity.
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

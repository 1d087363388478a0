package standin

import "container/list"

// prefixCache holds the newest blocks by their chained hashes.
type prefixCache struct {
	room    int
	blocks  map[uint64]*list.Element
	order   *list.List
	added   uint64
	evicted uint64
	changed func(block uint64, held bool)
}

func newPrefixCache(room int) *prefixCache {
	return &prefixCache{room: room, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// hits returns how many leading blocks are cached.
func (c *prefixCache) hits(blocks []uint64) int {
	for i, block := range blocks {
		element := c.blocks[block]
		if element == nil {
			return i
		}
		c.order.MoveToBack(element)
	}
	return len(blocks)
}

func (c *prefixCache) add(blocks []uint64) {
	for _, block := range blocks {
		if element := c.blocks[block]; element != nil {
			c.order.MoveToBack(element)
			continue
		}
		c.blocks[block] = c.order.PushBack(block)
		c.added++
		c.changed(block, true)
	}
	for c.order.Len() > c.room {
		oldest := c.order.Front()
		delete(c.blocks, oldest.Value.(uint64))
		c.order.Remove(oldest)
		c.evicted++
		c.changed(oldest.Value.(uint64), false)
	}
}

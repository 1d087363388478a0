package standin

import "sync"

// CacheIndex records the prompt blocks that each engine has cached, in order to count the prefills that a better choice
// of engine would have avoided. The methods that engines call do nothing on a nil index.
type CacheIndex struct {
	mutex   sync.Mutex
	holders map[uint64]map[string]bool
	loaded  map[string]bool
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{holders: map[uint64]map[string]bool{}, loaded: map[string]bool{}}
}

// set records that an engine has cached or evicted a block.
func (c *CacheIndex) set(engine string, block uint64, held bool) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !held {
		delete(c.holders[block], engine)
		return
	}
	if c.holders[block] == nil {
		c.holders[block] = map[string]bool{}
	}
	c.holders[block][engine] = true
}

// removeEngine records that an engine has lost its cache.
func (c *CacheIndex) removeEngine(engine string) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, engines := range c.holders {
		delete(engines, engine)
	}
}

// setLoaded records whether an engine has load: more than half of the requests that keep its latency within the limit.
func (c *CacheIndex) setLoaded(engine string, loaded bool) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.loaded[engine] = loaded
}

// longestPrefixElsewhere returns the largest number of leading blocks that another engine without load has cached.
func (c *CacheIndex) longestPrefixElsewhere(engine string, blocks []uint64) int {
	if c == nil || len(blocks) == 0 {
		return 0
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	best := 0
	for other := range c.holders[blocks[0]] {
		if other == engine || c.loaded[other] {
			continue
		}
		hits := 0
		for hits < len(blocks) && c.holders[blocks[hits]][other] {
			hits++
		}
		best = max(best, hits)
	}
	return best
}

package standin

import "sync"

// CacheIndex records which prompt blocks each engine has cached. With it, an engine counts the prompt tokens that it
// computes although another engine has them cached (Stats.AvoidablePrefillTokens). Engines may use a nil index, which
// records nothing.
type CacheIndex struct {
	mutex   sync.Mutex
	holders map[uint64]map[string]bool // by block: the names of the engines that have it cached
	busy    map[string]bool            // by engine name
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{holders: map[uint64]map[string]bool{}, busy: map[string]bool{}}
}

// set records that an engine has cached a block (held is true) or evicted it.
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

// removeEngine records that an engine has no block cached any more.
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

// setBusy records whether an engine is busy: it has more than half as many requests as ConcurrencyWithinLatencyLimit
// returns for it.
func (c *CacheIndex) setBusy(engine string, busy bool) {
	if c == nil {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.busy[engine] = busy
}

// longestPrefixElsewhere returns the largest number of leading blocks that any other engine that is not busy has
// cached.
func (c *CacheIndex) longestPrefixElsewhere(engine string, blocks []uint64) int {
	if c == nil || len(blocks) == 0 {
		return 0
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	best := 0
	for other := range c.holders[blocks[0]] {
		if other == engine || c.busy[other] {
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

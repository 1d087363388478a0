package standin

import "sync"

// CacheIndex knows what every engine has cached, to tell which prefills could have been spared.
type CacheIndex struct {
	mutex   sync.Mutex
	holders map[uint64]map[string]bool
	loaded  map[string]bool
}

// NewCacheIndex returns an empty registry.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{holders: map[uint64]map[string]bool{}, loaded: map[string]bool{}}
}

func (r *CacheIndex) note(engine string, block uint64, held bool) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !held {
		delete(r.holders[block], engine)
		return
	}
	if r.holders[block] == nil {
		r.holders[block] = map[string]bool{}
	}
	r.holders[block][engine] = true
}

func (r *CacheIndex) forget(engine string) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, engines := range r.holders {
		delete(engines, engine)
	}
}

func (r *CacheIndex) load(engine string, loaded bool) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loaded[engine] = loaded
}

// bestElsewhere returns how many leading blocks the best unloaded other engine has cached.
func (r *CacheIndex) bestElsewhere(engine string, blocks []uint64) int {
	if r == nil || len(blocks) == 0 {
		return 0
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	best := 0
	for other := range r.holders[blocks[0]] {
		if other == engine || r.loaded[other] {
			continue
		}
		hits := 0
		for hits < len(blocks) && r.holders[blocks[hits]][other] {
			hits++
		}
		best = max(best, hits)
	}
	return best
}

package engine

import (
	"container/list"
	"math/rand/v2"
)

// cacheEvent is one change of the prefix cache as GET /cache/events returns it. Type is "stored", "evicted" or "cleared".
type cacheEvent struct {
	Seq    int64    `json:"seq"`
	Type   string   `json:"type"`
	Hashes []uint64 `json:"hashes"`
}

// maxCacheEvents bounds the cache events kept; when it is exceeded, only the newest half is kept.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt blocks, which are known by their hashes only. Engine.mu guards it.
type prefixCache struct {
	// capacity is the number of blocks that the cache holds.
	capacity int
	// recency holds the hashes of the blocks, most recently used first, and blocks their elements in it.
	recency *list.List
	blocks  map[uint64]*list.Element
	events  []cacheEvent
	// seq is the sequence number of the newest event.
	seq int64
	rng *rand.Rand
}

func newPrefixCache(capacity int, seed uint64) *prefixCache {
	return &prefixCache{
		capacity: capacity, recency: list.New(), blocks: map[uint64]*list.Element{}, rng: rand.New(rand.NewPCG(seed, 2)),
	}
}

// insert stores the blocks of a prompt, evicts the least recently used blocks above capacity, and returns how many leading
// blocks of the prompt were cached before.
func (c *prefixCache) insert(blocks []uint64) int {
	hits := 0
	var stored, evicted []uint64
	for i, hash := range blocks {
		if element, ok := c.blocks[hash]; ok {
			c.recency.MoveToFront(element)
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks[hash] = c.recency.PushFront(hash)
		stored = append(stored, hash)
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		evictedHash := c.recency.Remove(oldest).(uint64)
		delete(c.blocks, evictedHash)
		evicted = append(evicted, evictedHash)
	}
	c.appendEvent("stored", stored)
	c.appendEvent("evicted", evicted)
	return hits
}

// clear removes all blocks.
func (c *prefixCache) clear() {
	c.recency.Init()
	c.blocks = map[uint64]*list.Element{}
	c.appendEvent("cleared", []uint64{})
}

// appendEvent appends an event to the log, unless it is about no blocks and does not clear the cache.
func (c *prefixCache) appendEvent(kind string, hashes []uint64) {
	if len(hashes) == 0 && kind != "cleared" {
		return
	}
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Type: kind, Hashes: hashes})
	if len(c.events) > maxCacheEvents {
		c.events = append([]cacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the events above seq, each left out with the given probability.
func (c *prefixCache) eventsAfter(seq int64, dropProbability float64) []cacheEvent {
	matching := []cacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && (dropProbability == 0 || c.rng.Float64() >= dropProbability) {
			matching = append(matching, e)
		}
	}
	return matching
}

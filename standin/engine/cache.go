package engine

import (
	"container/list"
	"math/rand/v2"
)

// cacheEvent is one change of the prefix cache. Type is "stored", "evicted" or "cleared".
type cacheEvent struct {
	Seq    int64    `json:"seq"`
	Type   string   `json:"type"`
	Hashes []uint64 `json:"hashes"`
}

// eventHistory is the number of cache events kept.
const eventHistory = 4096

// prefixCache holds the blocks that prompts have in common, least recently used out first.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []cacheEvent
	seq      int64
	rng      *rand.Rand
}

func newPrefixCache(capacity int, seed uint64) *prefixCache {
	return &prefixCache{
		capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}, rng: rand.New(rand.NewPCG(seed, 2)),
	}
}

// use stores the blocks of a prompt and returns how many leading blocks were held already.
func (c *prefixCache) use(blocks []uint64) int {
	hits := 0
	var stored, evicted []uint64
	for i, b := range blocks {
		if el, ok := c.blocks[b]; ok {
			c.order.MoveToFront(el)
			if hits == i {
				hits++
			}
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		hash := c.order.Remove(oldest).(uint64)
		delete(c.blocks, hash)
		evicted = append(evicted, hash)
	}
	c.publish("stored", stored)
	c.publish("evicted", evicted)
	return hits
}

func (c *prefixCache) clear() {
	c.order.Init()
	c.blocks = map[uint64]*list.Element{}
	c.publish("cleared", []uint64{})
}

func (c *prefixCache) publish(kind string, hashes []uint64) {
	if len(hashes) == 0 && kind != "cleared" {
		return
	}
	c.seq++
	c.events = append(c.events, cacheEvent{Seq: c.seq, Type: kind, Hashes: hashes})
	if len(c.events) > eventHistory {
		c.events = append([]cacheEvent(nil), c.events[eventHistory/2:]...)
	}
}

// eventsAfter returns the events above seq, without a part gap of them.
func (c *prefixCache) eventsAfter(seq int64, gap float64) []cacheEvent {
	found := []cacheEvent{}
	for _, e := range c.events {
		if e.Seq > seq && (gap == 0 || c.rng.Float64() >= gap) {
			found = append(found, e)
		}
	}
	return found
}

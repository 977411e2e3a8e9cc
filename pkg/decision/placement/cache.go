package placement

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// CacheEventKind says what happened to a block of an engine's prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one entry of an engine's event log. Events are late and Seq has gaps.
type CacheEvent struct {
	Seq    int64
	Kind   CacheEventKind
	Hashes []uint64
}

// Parameters of the cache index.
const (
	// maxCacheBlocks bounds the index of one upstream to about 5 MB.
	maxCacheBlocks = 1 << 16
	// reportLag is the age below which an entry stands against an event log that does not list it yet.
	reportLag = 2 * time.Second
	// trustHalfLife ages entries that were not seen again, since evictions may be late.
	trustHalfLife = 5 * time.Minute
)

type cacheEntry struct {
	at time.Time
	// missed is the value of CacheIndex.missed when the entry was last confirmed.
	missed float64
}

// CacheIndex is what is believed of the prefix cache of one upstream. It is not safe for concurrent use.
type CacheIndex struct {
	blocks  *simplelru.LRU[uint64, cacheEntry]
	lastSeq int64
	// missed estimates the blocks that missing events were about, from the mean size of an event.
	missed   float64
	meanSize float64
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	lru, _ := simplelru.NewLRU[uint64, cacheEntry](maxCacheBlocks, nil)
	return &CacheIndex{blocks: lru}
}

// After returns the sequence number from which events are missing.
func (c *CacheIndex) After() int64 { return c.lastSeq }

// Apply takes events in order. Events that came before are skipped.
func (c *CacheIndex) Apply(now time.Time, events []CacheEvent) {
	for _, e := range events {
		switch {
		case e.Seq <= c.lastSeq:
			continue
		case c.lastSeq > 0 && e.Seq > c.lastSeq+1:
			c.missed += float64(e.Seq-c.lastSeq-1) * math.Max(1, c.meanSize)
		}
		c.meanSize += (float64(len(e.Hashes)) - c.meanSize) / 16
		c.lastSeq = e.Seq
		switch e.Kind {
		case CacheStored:
			c.Note(now, e.Hashes)
		case CacheEvicted:
			for _, h := range e.Hashes {
				c.blocks.Remove(h)
			}
		case CacheCleared:
			c.blocks.Purge()
		}
	}
}

// Note adds blocks that the upstream must have now, such as those of a prompt that it just ran.
func (c *CacheIndex) Note(now time.Time, hashes []uint64) {
	for _, h := range hashes {
		c.blocks.Add(h, cacheEntry{at: now, missed: c.missed})
	}
}

// Forget removes blocks that the upstream's event log does not list, unless they are so new that their events
// may be under way.
func (c *CacheIndex) Forget(now time.Time, hashes []uint64) {
	for _, h := range hashes {
		if e, ok := c.blocks.Peek(h); ok && now.Sub(e.at) > reportLag {
			c.blocks.Remove(h)
		}
	}
}

// Reset forgets everything, after a restart of the engine.
func (c *CacheIndex) Reset() {
	c.blocks.Purge()
	c.lastSeq, c.missed = 0, 0
}

// Match returns the number of leading blocks of a prompt that are believed cached, and the trust in that
// between 0 and 1.
func (c *CacheIndex) Match(now time.Time, hashes []uint64) (blocks int, trust float64) {
	trust = 1
	for _, h := range hashes {
		e, ok := c.blocks.Peek(h)
		if !ok {
			break
		}
		blocks++
		trust = min(trust, c.trust(now, e))
	}
	if blocks == 0 {
		return 0, 0
	}
	return blocks, trust
}

// trust falls with the age of an entry and with the chance that a missing event evicted it: one in the number
// of blocks for each block that the missing events were about.
func (c *CacheIndex) trust(now time.Time, e cacheEntry) float64 {
	t := 1 / (1 + float64(now.Sub(e.at))/float64(trustHalfLife))
	return t * math.Exp(-(c.missed-e.missed)/float64(max(1, c.blocks.Len())))
}

package placement

import (
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
	// gapTrust is what each missing stretch of events leaves of the trust in older entries; an eviction may
	// have been in it.
	gapTrust = 0.7
	// trustHalfLife ages entries that were not seen again, since evictions may be late.
	trustHalfLife = 5 * time.Minute
)

type cacheEntry struct {
	at time.Time
	// gaps is the number of gaps known when the entry was last confirmed.
	gaps int
}

// CacheIndex is what is believed of the prefix cache of one upstream. It is not safe for concurrent use.
type CacheIndex struct {
	blocks  *simplelru.LRU[uint64, cacheEntry]
	lastSeq int64
	gaps    int
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	lru, _ := simplelru.NewLRU[uint64, cacheEntry](maxCacheBlocks, nil)
	return &CacheIndex{blocks: lru}
}

// After returns the sequence number from which events are missing.
func (c *CacheIndex) After() int64 { return c.lastSeq }

// Gaps returns the number of gaps seen.
func (c *CacheIndex) Gaps() int { return c.gaps }

// Apply takes events in order. Events that came before are skipped.
func (c *CacheIndex) Apply(now time.Time, events []CacheEvent) {
	for _, e := range events {
		switch {
		case e.Seq <= c.lastSeq:
			continue
		case c.lastSeq > 0 && e.Seq > c.lastSeq+1:
			c.gaps++
		}
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
		c.blocks.Add(h, cacheEntry{at: now, gaps: c.gaps})
	}
}

// Forget removes blocks that the upstream is known not to have.
func (c *CacheIndex) Forget(hashes []uint64) {
	for _, h := range hashes {
		c.blocks.Remove(h)
	}
}

// Reset forgets everything, after a restart of the engine.
func (c *CacheIndex) Reset() {
	c.blocks.Purge()
	c.lastSeq, c.gaps = 0, 0
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
		trust = min(trust, e.trust(now, c.gaps))
	}
	if blocks == 0 {
		return 0, 0
	}
	return blocks, trust
}

func (e cacheEntry) trust(now time.Time, gaps int) float64 {
	t := 1 / (1 + float64(now.Sub(e.at))/float64(trustHalfLife))
	for range min(gaps-e.gaps, 8) {
		t *= gapTrust
	}
	return t
}

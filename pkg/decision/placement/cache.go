package placement

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// CacheEventKind is the kind of a change to the blocks of an engine's prefix cache.
type CacheEventKind string

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one entry of an engine's event log. Events may arrive late, and gaps in Seq are missing events.
type CacheEvent struct {
	Seq    int64
	Kind   CacheEventKind
	Hashes []uint64
}

const (
	// maxCacheBlocks limits the index of one upstream to about 5 MB.
	maxCacheBlocks = 1 << 16
	// eventLag is how long an entry stays in the index although the event log does not list it yet.
	eventLag = 2 * time.Second
	// trustHalfLife is the age at which the trust in an entry has halved. Trust falls with age because eviction
	// events may arrive late.
	trustHalfLife = 5 * time.Minute
)

// cacheEntry is a block that is believed to be cached.
type cacheEntry struct {
	confirmedAt time.Time
	// missed is the value of CacheIndex.missed at confirmedAt.
	missed float64
}

// CacheIndex estimates which blocks the prefix cache of one upstream holds. It is not safe for concurrent use.
type CacheIndex struct {
	blocks  *simplelru.LRU[uint64, cacheEntry]
	lastSeq int64
	// missed estimates the number of blocks in the events that never arrived, from the mean number of blocks per
	// event.
	missed          float64
	meanEventBlocks float64
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	lru, _ := simplelru.NewLRU[uint64, cacheEntry](maxCacheBlocks, nil)
	return &CacheIndex{blocks: lru}
}

// LastSeq returns the sequence number of the last applied event. Events after it are still to be fetched.
func (c *CacheIndex) LastSeq() int64 { return c.lastSeq }

// Apply updates the index with events in order of Seq. Events that were applied before are skipped.
func (c *CacheIndex) Apply(now time.Time, events []CacheEvent) {
	for _, e := range events {
		switch {
		case e.Seq <= c.lastSeq:
			continue
		case c.lastSeq > 0 && e.Seq > c.lastSeq+1:
			c.missed += float64(e.Seq-c.lastSeq-1) * math.Max(1, c.meanEventBlocks)
		}
		c.meanEventBlocks += (float64(len(e.Hashes)) - c.meanEventBlocks) / 16
		c.lastSeq = e.Seq
		switch e.Kind {
		case CacheStored:
			c.AddBlocks(now, e.Hashes)
		case CacheEvicted:
			for _, h := range e.Hashes {
				c.blocks.Remove(h)
			}
		case CacheCleared:
			c.blocks.Purge()
		}
	}
}

// AddBlocks adds blocks that the upstream must hold now, such as those of a prompt that it just ran.
func (c *CacheIndex) AddBlocks(now time.Time, hashes []uint64) {
	for _, h := range hashes {
		c.blocks.Add(h, cacheEntry{confirmedAt: now, missed: c.missed})
	}
}

// RemoveUnlisted removes blocks that the upstream's event log does not list, unless they were added within eventLag, so
// that their events may not have arrived yet.
func (c *CacheIndex) RemoveUnlisted(now time.Time, hashes []uint64) {
	for _, h := range hashes {
		if e, ok := c.blocks.Peek(h); ok && now.Sub(e.confirmedAt) > eventLag {
			c.blocks.Remove(h)
		}
	}
}

// Reset empties the index after a restart of the engine.
func (c *CacheIndex) Reset() {
	c.blocks.Purge()
	c.lastSeq, c.missed = 0, 0
}

// Match returns the number of leading blocks of a prompt that are believed to be cached, and the trust in that
// from 0 to 1, which is the lowest trust in any of these blocks.
func (c *CacheIndex) Match(now time.Time, hashes []uint64) (blocks int, trust float64) {
	trust = 1
	for _, h := range hashes {
		e, ok := c.blocks.Peek(h)
		if !ok {
			break
		}
		blocks++
		trust = min(trust, c.entryTrust(now, e))
	}
	if blocks == 0 {
		return 0, 0
	}
	return blocks, trust
}

// entryTrust falls with the age of an entry and with the probability that a missing event evicted it. Each block
// in a missing event evicted the entry with a probability of one in the number of indexed blocks.
func (c *CacheIndex) entryTrust(now time.Time, e cacheEntry) float64 {
	ageTrust := 1 / (1 + float64(now.Sub(e.confirmedAt))/float64(trustHalfLife))
	return ageTrust * math.Exp(-(c.missed-e.missed)/float64(max(1, c.blocks.Len())))
}

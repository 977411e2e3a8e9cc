package failedruns

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"trefoilplank.example/pkg/decision/failedruns"
)

func newSurvived() *lru.Cache[string, time.Time] {
	cache, err := lru.New[string, time.Time](maxSurvived)
	if err != nil {
		panic(err) // Only a size that is not positive is an error.
	}
	return cache
}

// unproven returns the works without those for which a run without a crash speaks.
func (c *Controller) unproven(works failedruns.Works, crashedAt time.Time) failedruns.Works {
	if c.takeSurvived(works.Request) {
		works.Request = ""
	}
	var parts []string
	for _, part := range works.Parts {
		if !c.partSurvived(part, crashedAt) {
			parts = append(parts, part)
		}
	}
	works.Parts = parts
	return works
}

// Survived records that an upstream ran a request without crashing. The next broken run of an equal request, here or at
// another node, then does not count, so that a request that many callers send is not quarantined by crashes that it did
// not cause.
func (c *Controller) Survived(fingerprint string) {
	if c == nil {
		return
	}
	c.survived.Add(fingerprint, time.Now())
	if c.blames.Load() {
		c.clear("request was run without a crash", func() []failedruns.Record { return c.ledger.Survived(fingerprint) })
	}
}

// PartsSurvived records that an upstream went on with a run after its first event: a part of the prompt that crashes upstreams
// does so before that.
func (c *Controller) PartsSurvived(parts []string) {
	if c == nil || len(parts) == 0 {
		return
	}
	now := time.Now()
	for _, part := range parts {
		c.survivedParts.Add(part, now)
	}
	if c.blames.Load() {
		c.clear("requests with the part were run without a crash", func() (changed []failedruns.Record) {
			for _, part := range parts {
				changed = append(changed, c.ledger.Survived(part)...)
			}
			return changed
		})
	}
}

// partSurvived reports whether a request with a part was run without a crash later than partSurvivedTime before the given
// crash. Runs long before it don't speak for a part that many requests hold.
func (c *Controller) partSurvived(part string, crashedAt time.Time) bool {
	at, ok := c.survivedParts.Peek(part)
	return ok && at.After(crashedAt.Add(-partSurvivedTime))
}

// takeSurvived reports whether an equal request was run lately without a crash, since the last one that broke off.
func (c *Controller) takeSurvived(fingerprint string) bool {
	at, ok := c.survived.Peek(fingerprint)
	c.survived.Remove(fingerprint)
	return ok && time.Since(at) < survivedTime
}

// survivedHere reports whether this node ran the work of another node's record without a crash.
func (c *Controller) survivedHere(r failedruns.Record) bool {
	if failedruns.IsPart(r.Work) {
		return c.partSurvived(r.Work, time.Now().Add(-r.Age))
	}
	return c.takeSurvived(r.Work)
}

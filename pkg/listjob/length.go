package listjob

import (
	"math"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/pkg/decision/routing"
)

const (
	// presetEvent is the time between events that the rest of a run is estimated with.
	presetEvent = 31 * time.Millisecond
	// lengthWeight is the least weight of a finished item in the running mean of lengths: about the last 20. The first items
	// weigh more, beside firstLengths that are taken to have the announced length.
	lengthWeight = 0.05
	firstLengths = 2
	// lengthSpread deviations are added to the mean length. With yieldMargin this covers all but a few items in a hundred.
	lengthSpread = 1
)

// lengths learns which part of their announced longest length items have. An item announces the tokens of its prompt and the
// most that it may get as an answer; answers were about half of that, so that items that had time enough held their slots
// against online requests. It is safe for concurrent use.
type lengths struct {
	mu        sync.Mutex
	byService map[string]*length
}

// length is the running mean of the part and of its square.
type length struct {
	mean, square float64
	seen         int
}

func newLengths() *lengths { return &lengths{byService: map[string]*length{}} }

// finished learns from an item that has all of its events.
func (l *lengths) finished(service *routing.Service, tokens, events int) {
	longest := longestEvents(service, tokens)
	if longest <= 0 {
		return
	}
	part := min(1, float64(events)/float64(longest))
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byService[service.Name]
	if known == nil {
		known = &length{mean: 1, square: 1}
		l.byService[service.Name] = known
	}
	known.seen++
	weight := max(lengthWeight, 1/float64(known.seen+firstLengths))
	known.mean += weight * (part - known.mean)
	known.square += weight * (part*part - known.square)
}

// events estimates how many events an item has in all.
func (l *lengths) events(service *routing.Service, tokens int) int {
	longest := longestEvents(service, tokens)
	if longest <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byService[service.Name]
	if known == nil {
		return longest
	}
	deviation := math.Sqrt(max(0, known.square-known.mean*known.mean))
	return int(min(1, known.mean+lengthSpread*deviation) * float64(longest))
}

// longestEvents is the announced length in events, or 0 where it is not known.
func longestEvents(service *routing.Service, tokens int) int {
	if service == nil || service.TokensPerEvent <= 0 {
		return 0
	}
	return tokens / service.TokensPerEvent
}

// learnLength learns from an item of a job with its whole text.
func (c *Controller) learnLength(j *job, it *item, events int) {
	table := c.o.Table()
	if table == nil {
		return
	}
	if route := table.Match(j.head.Host, it.Path); route != nil {
		c.lengths.finished(table.Service(route.Pick(0)), it.Tokens, events)
	}
}

// learnListed learns from the results that a job had when it was taken over: after a restart nothing else is known.
func (c *Controller) learnListed(j *job) {
	for _, r := range j.results {
		if it := j.byID[r.ID]; it != nil && r.State == Completed {
			c.learnLength(j, it, strings.Count(r.Text, "\n")+1)
		}
	}
}

// rest estimates how long the rest of an item's run takes.
func (c *Controller) rest(it *item, service *routing.Service) time.Duration {
	return time.Duration(max(1, c.lengths.events(service, it.Tokens)-int(it.lines.Load()))) * presetEvent
}

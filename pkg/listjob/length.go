package listjob

import (
	"math"
	"strings"
	"sync"
	"time"

	"trefoilplank.example/pkg/decision/routing"
)

const (
	// defaultEventInterval is the assumed time between events until runs have been observed, which then have minPaceWeight at
	// least in the running mean.
	defaultEventInterval = 31 * time.Millisecond
	minPaceWeight        = 0.1
	// minPaceEvents is the number of events from which on a run says how fast its upstream generates.
	minPaceEvents = 5
	// minLengthWeight is the smallest weight of a finished item in the running mean of lengths, which then covers
	// about the last 20 items. The first items weigh more; they are averaged with priorLengths items that are assumed
	// to have the announced length.
	minLengthWeight = 0.05
	priorLengths    = 2
	// lengthDeviations standard deviations are added to the mean length. Together with yieldMargin this covers all
	// but a few items in a hundred.
	lengthDeviations = 1
)

// lengthModel learns what fraction of their announced maximum length items reach. An item announces its prompt
// tokens and its maximum output. Real outputs were about half of that; with the announced length as the estimate, items
// with enough time left did not give up their slots to online requests. It is safe for concurrent use.
type lengthModel struct {
	mu        sync.Mutex
	byService map[string]*lengthStats
}

// lengthStats holds the running means of the fraction and of its square.
type lengthStats struct {
	mean, meanSquare float64
	count            int
	// pace is the running mean of the time of a run for each event, and runs the number of runs in it.
	pace time.Duration
	runs int
}

func newLengthModel() *lengthModel { return &lengthModel{byService: map[string]*lengthStats{}} }

// observe records the number of events of an item that has completed.
func (l *lengthModel) observe(service *routing.Service, tokens, events int) {
	announced := announcedEvents(service, tokens)
	if announced <= 0 {
		return
	}
	fraction := min(1, float64(events)/float64(announced))
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.stats(service.Name)
	known.count++
	weight := max(minLengthWeight, 1/float64(known.count+priorLengths))
	known.mean += weight * (fraction - known.mean)
	known.meanSquare += weight * (fraction*fraction - known.meanSquare)
}

// stats returns the statistics of a service, which are created if needed. The caller holds l.mu.
func (l *lengthModel) stats(service string) *lengthStats {
	known := l.byService[service]
	if known == nil {
		known = &lengthStats{mean: 1, meanSquare: 1, pace: defaultEventInterval}
		l.byService[service] = known
	}
	return known
}

// observePace records how long a run took for a number of events.
func (l *lengthModel) observePace(service string, events int64, took time.Duration) {
	if events < minPaceEvents {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.stats(service)
	known.runs++
	weight := max(minPaceWeight, 1/float64(known.runs))
	known.pace += time.Duration(weight * float64(took/time.Duration(events)-known.pace))
}

// pace returns the time that a run on a service takes for each event.
func (l *lengthModel) pace(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known := l.byService[service]; known != nil {
		return known.pace
	}
	return defaultEventInterval
}

// estimateEvents estimates how many events an item will have in total.
func (l *lengthModel) estimateEvents(service *routing.Service, tokens int) int {
	announced := announcedEvents(service, tokens)
	if announced <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.byService[service.Name]
	if known == nil {
		return announced
	}
	deviation := math.Sqrt(max(0, known.meanSquare-known.mean*known.mean))
	return int(min(1, known.mean+lengthDeviations*deviation) * float64(announced))
}

// announcedEvents returns the announced maximum length in events, or 0 if it is unknown.
func announcedEvents(service *routing.Service, tokens int) int {
	if service == nil || service.TokensPerEvent <= 0 {
		return 0
	}
	return tokens / service.TokensPerEvent
}

// observeLength records the length of a completed item.
func (c *Controller) observeLength(j *job, it *item, events int) {
	table := c.options.Table()
	if table == nil {
		return
	}
	if route := table.Match(j.head.Host, it.Path); route != nil {
		c.lengths.observe(table.Service(route.Pick(0)), it.Tokens, events)
	}
}

// observeListed records the lengths of the results that a job already had when it was taken over: after a restart
// nothing else is known.
func (c *Controller) observeListed(j *job) {
	for _, r := range j.results {
		if it := j.byID[r.ID]; it != nil && r.State == Completed {
			c.observeLength(j, it, strings.Count(r.Text, "\n")+1)
		}
	}
}

// remainingTime estimates how long the rest of an item's run takes.
func (c *Controller) remainingTime(it *item, service *routing.Service) time.Duration {
	pace := defaultEventInterval
	if service != nil {
		pace = c.lengths.pace(service.Name)
	}
	return time.Duration(max(1, c.lengths.estimateEvents(service, it.Tokens)-int(it.lines.Load()))) * pace
}

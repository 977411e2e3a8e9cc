package forward

import (
	"sync"
	"time"
)

// longestDeadlines keeps the longest deadline seen on each route, which is that of first attempts.
type longestDeadlines struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

// record records a deadline and returns how much shorter it is than the longest one of its route.
func (l *longestDeadlines) record(route string, d time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byRoute[route] = max(l.byRoute[route], d)
	return l.byRoute[route] - d
}

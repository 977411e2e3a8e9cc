package callerbudget

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	decision "trefoilplank.example/pkg/decision/callerbudget"
)

// reason is why a connection gave way.
type reason int32

const (
	// noReason is the value of a connection that did not give way.
	noReason     = int32(0)
	reasonNoRoom = reason(1)
	// reasonBody and reasonUnread are the timeouts of bodies and of answers that are not read.
	reasonBody   = reason(2)
	reasonUnread = reason(3)
)

var reasonNames = map[reason]string{reasonNoRoom: "no_room", reasonBody: "body_timeout", reasonUnread: "unread_timeout"}

var classNames = map[decision.Class]string{
	decision.Callers: "callers", decision.Readiness: "readiness", decision.Directory: "directory", decision.Metrics: "metrics",
	decision.Operators: "operators", decision.Internal: "internal",
}

var phaseNames = map[decision.Phase]string{
	decision.Idle: "idle", decision.Head: "head", decision.Body: "body", decision.Serving: "serving", decision.Answer: "answer", decision.Closing: "closing",
}

// register registers what the group holds: connections and bytes by phase.
func (g *Group) register(set *metrics.Set) {
	if set == nil {
		return
	}
	for phase, name := range phaseNames {
		labels := `{server="` + g.name + `",phase="` + name + `"}`
		set.NewGauge("trefoilplank_caller_connections"+labels, func() float64 { n, _ := g.heldIn(phase); return n })
		set.NewGauge("trefoilplank_caller_held_bytes"+labels, func() float64 { _, n := g.heldIn(phase); return n })
	}
}

// heldIn returns the number of connections in a phase and the bytes that they hold.
func (g *Group) heldIn(p decision.Phase) (connections, bytes float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if c.currentPhase() == p {
			connections++
			bytes += float64(c.bytes.Load())
		}
	}
	return connections, bytes
}

func (g *Group) count(p decision.Phase, why reason) {
	g.add(`trefoilplank_caller_closed_total{server="` + g.name + `",phase="` + phaseNames[p] + `",reason="` + reasonNames[why] + `"}`)
}

// countRefused counts a connection that was closed as soon as it was accepted.
func (g *Group) countRefused() { g.countReason("no_room") }

// countHead counts a header section that is too long.
func (g *Group) countHead() { g.countReason("head_too_long") }

// countAhead counts a connection that is closed after its answer, since its caller sends requests ahead.
func (g *Group) countAhead() { g.countReason("requests_ahead") }

func (g *Group) countReason(name string) {
	g.add(`trefoilplank_caller_refused_total{server="` + g.name + `",reason="` + name + `"}`)
}

func (g *Group) add(name string) {
	if set := g.budget.options.Metrics; set != nil {
		set.GetOrCreateCounter(name).Inc()
	}
}

// quietTime ends a series of connections that give way: the next one is logged again.
const quietTime = 10 * time.Second

// series holds when a connection last gave way in each phase.
type series map[decision.Phase]time.Time

// first records an eviction and reports whether it is the first of a series.
func (s *series) first(p decision.Phase, now time.Time) bool {
	if *s == nil {
		*s = series{}
	}
	last := (*s)[p]
	(*s)[p] = now
	return now.Sub(last) > quietTime
}

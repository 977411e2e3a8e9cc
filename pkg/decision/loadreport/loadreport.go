// Package loadreport decodes the load that an upstream reports with its answers.
package loadreport

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// maxCount is the largest number of requests or slots that a report may name. The sum of two such numbers fits an int.
	maxCount = 1 << 20
	// usualFigure is the fourth figure of a machine on which work takes the usual time.
	usualFigure = 100
	// maxSlowness is the largest slowness that is taken over: a figure beyond it is a fault of the upstream and no speed.
	maxSlowness = 1000
	// momentLifetime is how long the slowness of a report says something. It changes many times a second.
	momentLifetime = 600 * time.Millisecond
)

// Report is the load of an upstream as one of its answers tells it.
type Report struct {
	// Running and Waiting are the requests that hold a slot and those that wait for one; Slots is 0 if it is no number.
	Running, Waiting, Slots int
	// Slowness is how long work takes on the machine at the moment, as a multiple of the usual time; 0 if the upstream reports none.
	Slowness float64
	// At is when the answer arrived; zero if there is no report.
	At time.Time
}

// Parse decodes "running,waiting,slots" with an optional fourth figure, the time of work in hundredths of the usual one. Further
// figures are ignored. It returns the zero Report if the first two figures are no numbers or the third is missing.
func Parse(text string, at time.Time) Report {
	running, text, _ := strings.Cut(text, ",")
	waiting, text, complete := strings.Cut(text, ",")
	slots, text, _ := strings.Cut(text, ",")
	figure, _, _ := strings.Cut(text, ",")
	r := Report{Slots: max(0, count(slots)), Slowness: slowness(figure), At: at}
	if r.Running, r.Waiting = count(running), count(waiting); !complete || r.Running < 0 || r.Waiting < 0 {
		return Report{}
	}
	return r
}

// count returns a number of requests or slots, or -1 if the text is none.
func count(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 || n > maxCount {
		return -1
	}
	return n
}

// slowness returns the fourth figure as a multiple of the usual time, or 0 if it is none.
func slowness(text string) float64 {
	if text == "" {
		return 0
	}
	f, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(f) || f <= 0 || f > maxSlowness*usualFigure {
		return 0
	}
	return f / usualFigure
}

// Known reports whether the upstream reported its load.
func (r Report) Known() bool { return !r.At.IsZero() }

// Busy returns the number of requests that hold a slot or wait for one.
func (r Report) Busy() int { return r.Running + r.Waiting }

// Age returns the time since the report.
func (r Report) Age(now time.Time) time.Duration { return now.Sub(r.At) }

// Moment returns the slowness while it is recent enough to be used.
func (r Report) Moment(now time.Time) (slowness float64, ok bool) {
	return r.Slowness, r.Slowness > 0 && r.Age(now) <= momentLifetime
}

// Package callerbudget decides how much memory and how many descriptors a node holds for callers, and whose connections
// give way when that is exceeded.
package callerbudget

import (
	"slices"
	"time"
)

// Usage is what is held for callers.
type Usage struct {
	Bytes int64
	// Descriptors counts a connection, and for a request that is being served the connection to its upstream.
	Descriptors int64
}

// Exceeds reports whether more is used than a limit allows. A limit of 0 is none.
func (u Usage) Exceeds(limit Usage) bool {
	return limit.Bytes > 0 && u.Bytes > limit.Bytes || limit.Descriptors > 0 && u.Descriptors > limit.Descriptors
}

// Class is a kind of server of a node. Each class has a part of the node's budget of its own, so that clients of one can't
// keep the node from serving the others.
type Class int

// Classes of servers.
const (
	Callers Class = iota
	Readiness
	Directory
	Metrics
	// Operators is the server of the product's own interface for operators. A node has it in place of a directory.
	Operators
	// Internal is the port for other nodes. Its budget holds for connections that have not identified themselves yet.
	Internal
)

// Parts of the descriptors and of the memory for callers that each class gets. Together they leave a fifth of the
// descriptors for connections to the store and to other nodes, which deployments of 300 nodes need.
var parts = map[Class]struct{ memory, descriptors float64 }{
	Callers:   {0.84, 0.6},
	Readiness: {0.04, 0.03},
	Directory: {0.08, 0.06},
	Operators: {0.08, 0.06},
	Metrics:   {0.04, 0.03},
	Internal:  {0, 0.06},
}

// minDescriptors is the least part of the descriptors of a class, so that small limits leave room for each.
const minDescriptors = 8

// Limit returns what a class may hold on a node with a number of bytes for callers and a limit on its descriptors, which is 0
// if it is not known.
func Limit(c Class, bytes int64, descriptors int) Usage {
	part := parts[c]
	limit := Usage{Bytes: int64(part.memory * float64(bytes))}
	if descriptors > 0 {
		limit.Descriptors = max(minDescriptors, int64(part.descriptors*float64(descriptors)))
	}
	return limit
}

// Phase says what a connection is waiting for.
type Phase int32

// Phases of a connection.
const (
	// Idle connections have sent no byte of the next request.
	Idle Phase = iota
	// Head and Body are phases of a request that has not arrived completely.
	Head
	Body
	// Serving is the phase of a request that has arrived and whose answer is not held up by the caller.
	Serving
	// Answer is the phase in which the caller has to read before more can be written to it.
	Answer
	// Closing connections gave way. They stay open for a moment, so that the caller can read the answer.
	Closing
)

// Holder is a connection.
type Holder struct {
	Phase Phase
	Usage Usage
	// Age is the time since the phase began, Stalled that since the caller last sent or read something.
	Age, Stalled time.Duration
	// Received are the bytes that arrived in the phase.
	Received int64
	// Served is set if a request on the connection was answered before.
	Served bool
}

const (
	// slowPart is the weight of the time that a caller takes while it makes progress, relative to time without progress.
	slowPart = 0.25
	// steadyRate is the rate in bytes per second at which a caller is not late: a body of 4 MiB then takes 64 s, as long as bodies
	// may take by default. steadyPart is the part of its time that counts nevertheless, so that nobody holds much for long.
	steadyRate = 64 << 10
	steadyPart = 0.1
	// servedPart is the weight of an idle connection on which requests were answered: its caller will probably use it again.
	servedPart = 0.05
	// descriptorBytes is the weight of a descriptor in bytes, so that connections without data are compared by their time.
	descriptorBytes = 16 << 10
	// closingPart is the weight of a connection that is about to be closed anyway.
	closingPart = 10
	// minUnread is how long a caller reads nothing before its answer counts as held up. Writes to a caller that reads take less.
	minUnread = 100 * time.Millisecond
	// slack is the part of the limit that is freed beyond what is needed, so that not each arriving byte needs a decision.
	slack = 0.05
)

// weight returns how early a holder gives way: by what it holds and for how long. The time since the caller last sent or read
// something counts in full, and the time by which it is late by a quarter. Requests that are being served do not give way, since
// their answers are under way.
func (h Holder) weight() float64 {
	if h.Phase == Serving || h.Phase == Answer && h.Stalled < minUnread {
		return 0
	}
	held := float64(h.Usage.Bytes + descriptorBytes*h.Usage.Descriptors)
	switch {
	case h.Phase == Answer:
		return held * h.Stalled.Seconds()
	case h.Phase == Idle && h.Served:
		held *= servedPart
	case h.Phase == Closing:
		held *= closingPart
	}
	late := max(h.Age.Seconds()-float64(h.Received)/steadyRate, steadyPart*h.Age.Seconds())
	return held * (slowPart*late + h.Stalled.Seconds())
}

// Victims returns the indexes of the connections to be closed, so that the rest is within the limit, in the order in which
// they give way. Holders that may not give way are not among them.
func Victims(holders []Holder, used, limit Usage) []int {
	if !used.Exceeds(limit) {
		return nil
	}
	order := make([]int, 0, len(holders))
	weights := make([]float64, len(holders))
	for i, h := range holders {
		if weights[i] = h.weight(); weights[i] > 0 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case weights[a] > weights[b]:
			return -1
		case weights[a] < weights[b]:
			return 1
		}
		return a - b
	})
	target := Usage{Bytes: int64((1 - slack) * float64(limit.Bytes)), Descriptors: int64((1 - slack) * float64(limit.Descriptors))}
	var victims []int
	for _, i := range order {
		if !used.Exceeds(target) {
			break
		}
		// A holder whose bytes are needed and that holds none, or only a descriptor, is passed over if bytes alone are short.
		if u := holders[i].Usage; used.Descriptors <= target.Descriptors && u.Bytes == 0 {
			continue
		}
		used.Bytes -= holders[i].Usage.Bytes
		used.Descriptors -= holders[i].Usage.Descriptors
		victims = append(victims, i)
	}
	return victims
}

const (
	// servedShare is the share of the bytes that large requests may hold while they are served, since those do not give way: the
	// rest is for connections and for requests that arrive.
	servedShare = 0.6
	// smallRequest is the size up to which a request is served in any case.
	smallRequest = 64 << 10
)

// MayServe reports whether a request that holds a number of bytes may be served while others that are served hold some. It is
// refused otherwise: it has arrived, but has not run.
func MayServe(bytes, served int64, limit Usage) bool {
	return limit.Bytes == 0 || served == 0 || bytes <= smallRequest || served+bytes <= int64(servedShare*float64(limit.Bytes))
}

// Estimates of what net/http and the node hold beyond the bytes that arrive.
const (
	// ConnectionBytes are the buffers of a connection for reading and writing, 4 KiB each, its goroutine and its state.
	ConnectionBytes = 20 << 10
	// lineBytes is what a header field takes beyond its text: entries in the maps of the request and of its copy for the
	// upstream, their slices and strings. 2,300 fields in 16 KiB took 250 KB.
	lineBytes = 100
	// valueBytes is what a decoded value of a job takes beyond its text.
	valueBytes = 160
)

// HeadBytes returns what a header section takes.
func HeadBytes(bytes, lines int) int64 { return int64(2*bytes + lineBytes*lines) }

// JobBytes returns what a job takes while it is decoded, beyond its text: its bodies, and its values.
func JobBytes(bytes, values int) int64 { return int64(bytes + valueBytes*values) }

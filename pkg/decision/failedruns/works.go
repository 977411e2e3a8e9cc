package failedruns

import (
	"encoding/hex"
	"strings"

	"github.com/zeebo/xxh3"
)

const (
	// partCrashes is the number of upstreams that may crash under requests which share a part, and partRequests the number
	// of different requests among these: two crashes of one request blame the request only.
	partCrashes, partRequests = 3, 2
	// partPrefix begins the works that are parts of prompts. Fingerprints of requests are hexadecimal.
	partPrefix = "part-"
)

// Works are what a run can be blamed for: a request as a whole, and the parts of its prompt that other requests share.
type Works struct {
	// Request is the fingerprint of the request.
	Request string
	// Parts are those of PartWork.
	Parts []string
}

// all returns all works of a request.
func (w Works) all() []string {
	all := make([]string, 0, len(w.Parts)+1)
	if w.Request != "" {
		all = append(all, w.Request)
	}
	return append(all, w.Parts...)
}

// PartWork returns the work of a part of prompts that the upstreams of a service run. The ids of parts come from callers, so
// the work holds a hash of them.
func PartWork(service, id string) string {
	sum := xxh3.HashString128(service + "\x00" + id).Bytes()
	return partPrefix + hex.EncodeToString(sum[:])
}

// IsPart reports whether a work is a part of prompts.
func IsPart(work string) bool { return strings.HasPrefix(work, partPrefix) }

// Records returns the records of a run that ended in the way of r, one for each work.
func (w Works) Records(r Record) []Record {
	records := make([]Record, 0, len(w.Parts)+1)
	if w.Request != "" {
		r.Work = w.Request
		records = append(records, r)
	}
	r.Request = w.Request
	for _, part := range w.Parts {
		r.Work = part
		records = append(records, r)
	}
	return records
}

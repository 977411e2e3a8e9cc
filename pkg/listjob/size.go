package listjob

import (
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/jsontext"
)

// All limits of this file are on bytes as they are encoded in JSON, in which a text may take six times its length.

const (
	// maxEntryBytes limits an entry of the result log and a chunk of items. A store may count the name and the metadata of an
	// object with its value.
	maxEntryBytes = store.MaxValueBytes - 48<<10
	// minEntryBytes is the smallest limit that this node tries after the store has refused larger entries.
	minEntryBytes = 8 << 10
	// maxReadBytes limits the results in one read, of which callers accept 1 MB.
	maxReadBytes = 960_000
	// resultOverhead is the size of a result without its ID and its text: the names of the fields, the state and the
	// punctuation. entryOverhead is that of an entry without its results, with a name of usual length.
	resultOverhead, entryOverhead = 64, 512
)

// encodedLen returns the size of a result in an entry or a read, or a little more.
func (r *Result) encodedLen() int {
	return jsontext.StringLen(r.ID) + jsontext.StringLen(r.Text) + resultOverhead
}

// page returns the results that fit into one read, starting at position after, and at least one if there is one.
func page(results []Result, after int) []Result {
	if after >= len(results) {
		return nil
	}
	size := 0
	for n := range results[after:] {
		size += results[after+n].encodedLen()
		if n > 0 && size > maxReadBytes {
			return results[after : after+n]
		}
	}
	return results[after:]
}

// Package eventstream reads and checks the ids of server-sent events, which number the events of a stream.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("event stream")

// EventEnd is the byte sequence that ends each event.
var EventEnd = []byte("\n\n")

// ID returns the number in an "id:" line of an event; ok is false for other lines.
func ID(line []byte) (id int64, ok bool, err error) {
	text, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false, nil
	}
	id, err = strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
	if err != nil {
		return 0, false, Error.New("event id %q is not a number", bytes.TrimSpace(text))
	}
	return id, true, nil
}

// CheckNext returns an error unless id is the number that follows after, the number of the last event. after is -1 when
// there was none, which allows any id.
func CheckNext(after, id int64) error {
	if after >= 0 && id != after+1 {
		return Error.New("event id %d does not follow event id %d", id, after)
	}
	return nil
}

// Package eventstream reads the numbers of server-sent events.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("event stream")

// End is what ends each event.
var End = []byte("\n\n")

// ID reads the number of an event from one of its lines; ok is false for lines that hold none.
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

// Follow checks that an event follows the last one, whose number is after, or -1 when there was none.
func Follow(after, id int64) error {
	if after >= 0 && id != after+1 {
		return Error.New("event %d follows event %d", id, after)
	}
	return nil
}

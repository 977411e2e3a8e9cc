package listjob

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// endless returns a reader of begin and then of what next returns again and again, and counts the bytes read.
type endless struct {
	rest string
	next func(n int) string
	n    int
	read int
}

func (e *endless) Read(b []byte) (int, error) {
	if e.rest == "" {
		e.rest = e.next(e.n)
		e.n++
	}
	n := copy(b, e.rest)
	e.rest = e.rest[n:]
	if e.read += n; e.read > 64<<20 {
		return n, io.EOF
	}
	return n, nil
}

// Guards against an upstream whose answer to an item has no end and fills the node's memory: an event or a text.
func TestAnswerToAnItemWithoutEndIsCutOff(t *testing.T) {
	for name, next := range map[string]func(n int) string{
		"event": func(int) string { return "data: " + strings.Repeat("x", 1000) },
		"text":  func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 1000)) },
	} {
		t.Run(name, func(t *testing.T) {
			it := newJob(head{ID: "j", Host: testHost}, 1, submission("j", 1).Items).items[0]
			body := &endless{next: next}
			err := it.readEvents(body, "v1", func(int) {})
			assert.Assert(t, err != nil)
			t.Log(body.read, "bytes were read:", err)
			assert.Assert(t, body.read <= 2<<20 && len(it.text) <= 1<<20, "%d bytes were read, the text has %d", body.read, len(it.text))
		})
	}
}

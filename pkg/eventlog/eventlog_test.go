package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is a writer that blocks until it is released, like a pipe whose reader has stopped reading.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against callers that block because the log's output blocks: the lines must be dropped instead.
func TestBlockedOutputDropsLines(t *testing.T) {
	w := blockedWriter{make(chan struct{})}
	l := New(w, "n")
	begun := time.Now()
	for range 5000 {
		l.Notice("event", "key", "value")
		l.Routine("event")
	}
	// 10,000 lines take milliseconds; a blocked write would never return.
	assert.Assert(t, time.Since(begun) < 5*time.Second)
	assert.Assert(t, l.dropped.Load() > 0)
	close(w.release)
	l.Close()
}

// lockedBuffer is a buffer that is safe for concurrent writes.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Guards against failures that are dropped because successes used up the rate limit, and against lines that are not
// valid JSON.
func TestFailuresHaveSeparateLimit(t *testing.T) {
	out := &lockedBuffer{}
	l := New(out, "n")
	for range 2 * routineBurst {
		l.Routine("answered")
		time.Sleep(10 * time.Microsecond)
	}
	l.Notice("failed", "request", "r1")
	l.Close()
	lines := strings.Split(strings.TrimSpace(out.b.String()), "\n")
	var last map[string]any
	for _, line := range lines {
		assert.NilError(t, json.Unmarshal([]byte(line), &last))
	}
	assert.Equal(t, last["msg"], "failed")
	assert.Equal(t, last["request"], "r1")
	assert.Equal(t, last["node"], "n")
}

// Guards against a panic or a hang when a log is closed twice, or when a nil or zero Log is used.
func TestCloseTwiceAndUnopened(t *testing.T) {
	(&Log{}).Close()
	(*Log)(nil).Notice("event")
	l := New(&lockedBuffer{}, "n")
	l.Close()
	l.Close()
}

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

// stuck is a reader of standard output that does not read.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against requests that wait for a reader of the log which is stuck.
func TestStuckReaderCostsLinesOnly(t *testing.T) {
	s := stuck{make(chan struct{})}
	l := New(s, "n")
	begun := time.Now()
	for range 5000 {
		l.Notice("event", "key", "value")
		l.Routine("event")
	}
	// Ten thousand lines take milliseconds; a blocked write would take for ever.
	assert.Assert(t, time.Since(begun) < 5*time.Second)
	assert.Assert(t, l.left.Load() > 0)
	close(s.release)
	l.Close()
}

// locked is a buffer that two goroutines may use.
type locked struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *locked) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Guards against failures that are left out because successes used up the rate, and against lines that are no JSON.
func TestFailuresHaveTheirOwnBudget(t *testing.T) {
	out := &locked{}
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

// Guards against a log that is closed twice or was never opened.
func TestCloseIsHarmless(t *testing.T) {
	(&Log{}).Close()
	(*Log)(nil).Notice("event")
	l := New(&locked{}, "n")
	l.Close()
	l.Close()
}

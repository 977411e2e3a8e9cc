// Package eventlog writes one structured line for each decision. It never blocks its callers: lines wait in a bounded
// queue, and lines above a rate limit or beyond the queue are dropped and counted. Routine decisions have a lower rate
// limit than failures.
package eventlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait for a slow writer; at about 300 bytes a line the queue holds 300 KB.
	queueLines = 1024
	// routineRate bounds the lines a second about successful requests and other routine decisions, with bursts of
	// routineBurst lines. 200 lines of 300 bytes are 60 KB a second.
	routineRate, routineBurst = 200, 400
	// noticeRate and noticeBurst are the separate limits for failures and changes of the node's state, so that
	// routine lines can't use them up.
	noticeRate, noticeBurst = 400, 800
	// reportInterval is the time between two reports of the number of dropped lines; without any there is no report.
	reportInterval = 5 * time.Second
)

// Log writes rate-limited lines through a queue. A nil Log and the zero value discard all lines.
type Log struct {
	logger  *slog.Logger
	queue   *queue
	routine *rate.Limiter
	notice  *rate.Limiter
	// dropped counts the lines dropped since the last report.
	dropped atomic.Int64
}

// New returns a log that writes JSON lines to w, each with the node's name. The caller must close it.
func New(w io.Writer, node string) *Log {
	q := &queue{lines: make(chan []byte, queueLines), closing: make(chan struct{})}
	l := &Log{
		queue: q, routine: rate.NewLimiter(routineRate, routineBurst), notice: rate.NewLimiter(noticeRate, noticeBurst),
		logger: slog.New(slog.NewJSONHandler(q, nil)).With("node", node),
	}
	q.droppedCount = &l.dropped
	go q.drain(w)
	go l.reportDropped()
	return l
}

// Routine logs a decision with an expected outcome, at level info. These lines are dropped first.
func (l *Log) Routine(event string, fields ...any) { l.log(true, slog.LevelInfo, event, fields) }

// Notice logs a failure, a refusal or a change of the node's state or view of the fleet, at level warn.
func (l *Log) Notice(event string, fields ...any) { l.log(false, slog.LevelWarn, event, fields) }

// log hands a line to the queue unless it exceeds its rate limit.
func (l *Log) log(routine bool, level slog.Level, event string, fields []any) {
	if l == nil || l.logger == nil {
		return
	}
	limiter := l.notice
	if routine {
		limiter = l.routine
	}
	if !limiter.Allow() {
		l.dropped.Add(1)
		return
	}
	l.logger.Log(context.Background(), level, event, fields...)
}

// reportDropped writes every reportInterval how many lines were dropped since the last report.
func (l *Log) reportDropped() {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if n := l.dropped.Swap(0); n > 0 {
				l.logger.Warn("log lines dropped", "lines", n)
			}
		case <-l.queue.closing:
			return
		}
	}
}

// Close writes the queued lines, for at most a second, and ends the log.
func (l *Log) Close() {
	if l == nil || l.queue == nil {
		return
	}
	l.queue.close(time.Second)
}

// queue passes lines to the goroutine that runs drain.
type queue struct {
	lines chan []byte
	// droppedCount counts the lines that did not fit into the queue.
	droppedCount *atomic.Int64
	// closing is closed by the first call of close.
	closing   chan struct{}
	closeOnce sync.Once
	// drained is closed when drain returns; nil before it has started.
	drained chan struct{}
	// mu guards drained.
	mu sync.Mutex
}

// Write implements io.Writer for the log handler. It never blocks: a line that does not fit into the queue is dropped.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.droppedCount.Add(1)
	}
	return len(line), nil
}

// drain writes lines to w until the queue is closed, and then those still queued.
func (q *queue) drain(w io.Writer) {
	q.mu.Lock()
	q.drained = make(chan struct{})
	ended := q.drained
	q.mu.Unlock()
	defer close(ended)
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // A failure to write the log must not stop the node.
		case <-q.closing:
			for {
				select {
				case line := <-q.lines:
					_, _ = w.Write(line)
				default:
					return
				}
			}
		}
	}
}

// close ends the queue and waits up to timeout until the queued lines are written.
func (q *queue) close(timeout time.Duration) {
	q.closeOnce.Do(func() { close(q.closing) })
	q.mu.Lock()
	ended := q.drained
	q.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(timeout):
	}
}

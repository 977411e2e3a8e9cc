// Package eventlog writes one structured line for each decision to standard output. It never blocks its callers: lines
// wait in a bounded queue, and lines beyond the queue or the rate are counted and left out, successes first.
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
	// queueLines bounds the lines that wait for a slow reader; at about 300 bytes a line it holds 300 KB.
	queueLines = 1024
	// routineRate is the lines a second of successful requests and other routine decisions; routineBurst their burst.
	// Two hundred lines of 300 bytes are 60 KB a second.
	routineRate, routineBurst = 200, 400
	// noticeRate is the same for failures and changes of belief, which have a budget of their own.
	noticeRate, noticeBurst = 400, 800
	// reportEvery is how often the number of lines left out is written, if there were any.
	reportEvery = 5 * time.Second
)

// Log is a bounded log. The zero value discards all lines.
type Log struct {
	logger  *slog.Logger
	queue   *queue
	routine *rate.Limiter
	notice  *rate.Limiter
	left    atomic.Int64
}

// New returns a log that writes JSON lines to w, each with the node's name. Close ends it.
func New(w io.Writer, node string) *Log {
	q := &queue{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	l := &Log{
		queue: q, routine: rate.NewLimiter(routineRate, routineBurst), notice: rate.NewLimiter(noticeRate, noticeBurst),
		logger: slog.New(slog.NewJSONHandler(q, nil)).With("node", node),
	}
	q.lost = &l.left
	go q.drain(w)
	go l.report()
	return l
}

// Routine logs a decision that went as usual; these lines are left out first.
func (l *Log) Routine(event string, fields ...any) { l.write(true, slog.LevelInfo, event, fields) }

// Notice logs a failure, a refusal or a change of what the node believes.
func (l *Log) Notice(event string, fields ...any) { l.write(false, slog.LevelWarn, event, fields) }

func (l *Log) write(routine bool, level slog.Level, event string, fields []any) {
	if l == nil || l.logger == nil {
		return
	}
	limiter := l.notice
	if routine {
		limiter = l.routine
	}
	if !limiter.Allow() {
		l.left.Add(1)
		return
	}
	l.logger.Log(context.Background(), level, event, fields...)
}

// report writes how many lines were left out since the last report.
func (l *Log) report() {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if n := l.left.Swap(0); n > 0 {
				l.logger.Warn("log lines left out", "lines", n)
			}
		case <-l.queue.done:
			return
		}
	}
}

// Close writes what waits, for at most a second, and ends the log.
func (l *Log) Close() {
	if l == nil || l.queue == nil {
		return
	}
	l.queue.close(time.Second)
}

// queue hands lines to a writer goroutine.
type queue struct {
	lines chan []byte
	lost  *atomic.Int64
	done  chan struct{}
	once  sync.Once
	ended chan struct{}
	mu    sync.Mutex
}

// Write implements io.Writer for the handler; it never blocks.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.lost.Add(1)
	}
	return len(line), nil
}

func (q *queue) drain(w io.Writer) {
	q.mu.Lock()
	q.ended = make(chan struct{})
	ended := q.ended
	q.mu.Unlock()
	defer close(ended)
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // A lost reader of the log must not stop the node.
		case <-q.done:
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

func (q *queue) close(timeout time.Duration) {
	q.once.Do(func() { close(q.done) })
	q.mu.Lock()
	ended := q.ended
	q.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(timeout):
	}
}

package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Target is the set of addresses that a variant sends its calls to.
type Target struct {
	Name string
	// Addresses are in the form IP:port; calls use them in turn.
	Addresses []string
	Key       string
	// Direct leaves out the service prefix of paths, for calls to an upstream without a node in between.
	Direct bool
}

// maxInFlight bounds the calls in flight of one run, so that a target that doesn't answer can't exhaust the machine.
const maxInFlight = 4096

// callTimeout bounds the time of one call.
const callTimeout = 60 * time.Second

// Run sends the planned calls to a target, each at its planned time, and returns their results once all have ended. It
// calls progress after each call, from several goroutines at once. If ctx ends, it sends no further calls.
func Run(ctx context.Context, t Target, p Profile, plan []Arrival, progress func()) *Result {
	client := &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: maxInFlight, MaxIdleConns: 0, IdleConnTimeout: time.Minute, DisableCompression: true,
		},
	}
	defer client.CloseIdleConnections()
	r := newResult(t.Name)
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range plan {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c := call{client: client, target: t, profile: p, arrival: a, address: t.Addresses[i%len(t.Addresses)]}
			r.recordCall(a.Spec, c.run(ctx, start.Add(a.At)))
			progress()
		})
	}
	wg.Wait()
	r.Seconds = time.Since(start).Seconds()
	return r
}

// sleepUntil waits until a point in time and reports whether that was reached before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// outcome is the result of one call. firstToken and whole, the time to the end of the answer, count from the intended
// start; betweenTokens is the mean time between two tokens of a stream.
type outcome struct {
	firstToken, whole, betweenTokens time.Duration
	tokens                           int
	status                           int
	err                              error
}

// call is one planned call and the address that it is sent to.
type call struct {
	client  *http.Client
	target  Target
	profile Profile
	arrival Arrival
	address string
}

// request returns the HTTP request of the call: a GET of a record for a lookup, otherwise a chat completion.
func (c call) request(ctx context.Context) (*http.Request, error) {
	a := c.arrival
	if a.Spec.Kind == KindLookup {
		path := fmt.Sprintf("/v1/services/%s/record/%x", c.profile.Service, a.Unique)
		if c.target.Direct {
			path = fmt.Sprintf("/record/%x", a.Unique)
		}
		return http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+path, nil)
	}
	body, err := json.Marshal(map[string]any{
		"model": c.profile.Model, "max_tokens": a.Spec.MaxTokens, "ignore_eos": true, "stream": a.Spec.Kind == KindStream,
		"messages": []map[string]string{{"role": "user", "content": c.profile.prompt(a.Spec, a.Prefix, a.Unique)}},
	})
	if err != nil {
		return nil, err
	}
	return http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/v1/chat/completions", bytes.NewReader(body))
}

// run sends the call and reads its answer to the end.
func (c call) run(ctx context.Context, intended time.Time) outcome {
	r, err := c.request(ctx)
	if err != nil {
		return outcome{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.target.Key)
	r.Header.Set("X-Request-Id", fmt.Sprintf("bench-%x", c.arrival.Unique))
	answer, err := c.client.Do(r)
	if err != nil {
		return outcome{err: err}
	}
	defer answer.Body.Close()
	o := outcome{status: answer.StatusCode}
	if c.arrival.Spec.Kind == KindStream && answer.StatusCode == http.StatusOK {
		c.readStream(answer.Body, intended, &o)
	} else {
		_, o.err = io.Copy(io.Discard, answer.Body)
		o.firstToken = time.Since(intended)
	}
	o.whole = time.Since(intended)
	return o
}

// readStream reads server-sent events up to [DONE] and records tokens, times and any error in o. A stream that ends
// without [DONE] is an error.
func (c call) readStream(body io.Reader, intended time.Time, o *outcome) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 64<<10), 1<<20)
	var first, last time.Time
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if o.tokens > 1 {
				o.betweenTokens = last.Sub(first) / time.Duration(o.tokens-1)
			}
			return
		}
		last = time.Now()
		if o.tokens == 0 {
			first = last
			o.firstToken = first.Sub(intended)
		}
		o.tokens++
	}
	o.err = Error.New("stream ended without [DONE]")
	if err := scanner.Err(); err != nil {
		o.err = err
	}
}

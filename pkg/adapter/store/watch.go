package store

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// maxEventBytes bounds one line of a watch: the largest value in base64 with room for its key.
const maxEventBytes = 2 * MaxValueBytes

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error) {
	if err := c.reads.acquire(ctx); err != nil {
		return nil, unavailable(err)
	}
	// When the network drops packets without closing the connection, a watch without this timer would wait forever
	// and its changes would be missed.
	ctx, cancel := context.WithCancel(ctx)
	watchTimer := time.AfterFunc(c.watchTimeout, cancel)
	query := url.Values{"prefix": {prefix}, "from": {strconv.FormatInt(from, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/watch?"+query.Encode(), nil)
	if err != nil {
		cancel()
		return nil, unavailable(err)
	}
	callCounts.Add("watch", 1)
	resp, err := c.http.Do(req)
	if err != nil {
		callCounts.Add("watch_failed", 1)
		cancel()
		return nil, unavailable(err)
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		cancel()
		return nil, readError(statusError(resp.StatusCode, nil))
	}
	events := make(chan Event)
	go func() {
		defer close(events)
		defer cancel()
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		lines.Buffer(nil, maxEventBytes)
		for lines.Scan() {
			watchTimer.Reset(c.watchTimeout)
			e, err := decodeEvent(lines.Bytes())
			if err != nil {
				return
			}
			select {
			case events <- e:
			case <-ctx.Done():
				return
			}
		}
	}()
	return events, nil
}

// decodeEvent decodes one line of a watch.
func decodeEvent(line []byte) (Event, error) {
	var w wireObject
	if err := json.Unmarshal(line, &w); err != nil {
		return Event{}, Error.Wrap(err)
	}
	switch w.Type {
	case EventPut, EventDelete, EventSync, EventGone:
		return Event{Type: w.Type, Object: Object{Key: w.Key, Value: w.Value, Revision: w.Revision}, Begun: w.Begun}, nil
	}
	return Event{}, Error.New("unknown event type %q", w.Type)
}

// ListAll reads all pages below prefix. The returned Revision is that of the first page, so that a watch from it
// reports every change since.
func ListAll(ctx context.Context, s Store, prefix string) (Page, error) {
	var objects []Object
	all, err := ListEach(ctx, s, prefix, func(page []Object) { objects = append(objects, page...) })
	all.Objects = objects
	if err != nil {
		return Page{}, err
	}
	return all, nil
}

// ListEach is ListAll for objects that need not be held in memory at once: it calls handle with each page, and returns a page without objects. Pages
// that were read before an error have been handled.
func ListEach(ctx context.Context, s Store, prefix string, handle func([]Object)) (Page, error) {
	var first Page
	for after := ""; ; {
		p, err := s.List(ctx, prefix, after, listPageSize)
		if err != nil {
			return Page{}, err
		}
		if after == "" {
			first.Revision, first.Begun = p.Revision, p.Begun
		}
		handle(p.Objects)
		if p.Next == "" {
			return first, nil
		}
		after = p.Next
	}
}

const (
	// listPageSize is the number of objects that ListAll and ListEach request in one page.
	listPageSize = 500
	// maxFollowRetryDelay bounds the time between attempts, so that the end of an outage is noticed within seconds.
	maxFollowRetryDelay = 5 * time.Second
)

// Update is one report of Follow: everything below the prefix after a list, or one event.
type Update struct {
	// Full is set when Objects holds everything below the prefix; otherwise Event holds one change.
	Full    bool
	Objects []Object
	Event   Event
}

// Follow calls handle with everything below prefix and then with each change, until ctx ends. It resumes a broken watch
// from the last revision it received and lists again only when the store has compacted that revision.
func Follow(ctx context.Context, s Store, prefix string, handle func(Update)) error {
	wait := newBackOff()
	wait.MaxInterval = maxFollowRetryDelay
	revision, listed := int64(0), false
	for ctx.Err() == nil {
		err := func() error {
			if !listed {
				page, err := ListAll(ctx, s, prefix)
				if err != nil {
					return err
				}
				handle(Update{Full: true, Objects: page.Objects})
				revision, listed = page.Revision, true
			}
			events, err := s.Watch(ctx, prefix, revision)
			if err != nil {
				return err
			}
			for e := range events {
				wait.Reset()
				revision = max(revision, e.Object.Revision)
				if e.Type != EventSync {
					handle(Update{Event: e})
				}
			}
			return fmt.Errorf("watch of %q ended", prefix)
		}()
		if errors.Is(err, ErrCompacted) {
			listed = false
		}
		if sleep(ctx, wait.NextBackOff()) != nil {
			break
		}
	}
	return ctx.Err()
}

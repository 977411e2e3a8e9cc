package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
)

// Put implements Store. A conditional write whose answer was lost is resolved by reading the object back, so
// concurrent writers of one object must write values that differ. An unconditional one returns ErrUnknown.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	defer c.newGeneration()
	w := write{
		client: c, key: key, expect: expect,
		send: func() (int64, error) {
			body, header, err := c.exchange(ctx, c.writes, "put", http.MethodPut, objectPath(key), value, expect)
			if err != nil {
				return 0, err
			}
			return putRevision(header, body)
		},
		applied: func(o Object, err error) bool {
			return err == nil && o.Revision != expect && bytes.Equal(o.Value, value)
		},
	}
	return w.run(ctx)
}

// putRevision reads the new revision from the header or the JSON body. An answer without one leaves the revision
// open, so it counts as lost.
func putRevision(header http.Header, body []byte) (int64, error) {
	if revision, err := strconv.ParseInt(header.Get("Object-Revision"), 10, 64); err == nil {
		return revision, nil
	}
	var w wireObject
	if err := json.Unmarshal(body, &w); err != nil || w.Revision <= 0 {
		return 0, unknown(errors.New("the answer has no revision"))
	}
	return w.Revision, nil
}

// Delete implements Store. A conditional delete whose answer was lost is resolved by reading the object back.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	defer c.newGeneration()
	w := write{
		client: c, key: key, expect: expect,
		send: func() (int64, error) {
			_, _, err := c.exchange(ctx, c.writes, "delete", http.MethodDelete, objectPath(key), nil, expect)
			return 0, err
		},
		applied: func(_ Object, err error) bool { return errors.Is(err, ErrNotFound) },
	}
	_, err := w.run(ctx)
	return err
}

// newGeneration keeps later reads from joining reads that began before a write.
func (c *Client) newGeneration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
}

// write is one conditional or unconditional change of an object.
type write struct {
	client *Client
	key    string
	expect int64
	send   func() (int64, error)
	// applied reports whether the object as read back shows this write.
	applied func(Object, error) bool
}

// run sends the write and settles a lost answer. A resend happens only when nothing was sent, or when the write
// is conditional and the object still has the expected revision: then at most one of the sends can apply.
func (w *write) run(ctx context.Context) (int64, error) {
	wait := newBackOff()
	lost := false
	for attempt := 1; ; attempt++ {
		revision, err := w.send()
		switch {
		case err == nil:
			return revision, nil
		case errors.Is(err, ErrUnknown), lost:
			lost = true
		case !errors.Is(err, ErrUnavailable):
			return 0, err
		}
		if lost {
			settled, revision, err := w.readBack(ctx, err)
			if settled {
				return revision, err
			}
		}
		if attempt == maxAttempts || sleep(ctx, wait.NextBackOff()) != nil {
			if lost {
				return 0, unknown(err)
			}
			return 0, err
		}
	}
}

// readBack reports settled when the outcome is known, or can't become known by a resend.
func (w *write) readBack(ctx context.Context, cause error) (settled bool, revision int64, err error) {
	if w.expect == AnyRevision {
		return true, 0, unknown(cause)
	}
	o, err := w.client.get(ctx, w.key)
	switch {
	case w.applied(o, err):
		calls.Add("lost_answer_resolved", 1)
		return true, o.Revision, nil
	case errors.Is(err, ErrUnavailable):
		return false, 0, err
	case err == nil && o.Revision == w.expect, errors.Is(err, ErrNotFound) && w.expect == CreateOnly:
		return false, 0, nil
	}
	// The object moved on; this write may have been applied before the one that is there now.
	return true, 0, unknown(cause)
}

package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
)

// Put implements Store. The outcome of a conditional write whose answer was lost is determined by reading the object
// back, so concurrent writers of one object must write different values. An unconditional write whose answer was lost
// returns ErrUnknown.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect int64) (int64, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	defer c.startGeneration()
	w := write{
		client: c, key: key, expect: expect,
		send: func() (int64, error) {
			body, header, err := c.sendRequest(ctx, c.writes, "put", http.MethodPut, objectPath(key), value, expect)
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

// putRevision reads the new revision from the header or the JSON body of a response. A response without a revision
// counts as a lost answer.
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

// Delete implements Store. The outcome of a conditional delete whose answer was lost is determined by reading the
// object back.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	defer c.startGeneration()
	w := write{
		client: c, key: key, expect: expect,
		send: func() (int64, error) {
			_, _, err := c.sendRequest(ctx, c.writes, "delete", http.MethodDelete, objectPath(key), nil, expect)
			return 0, err
		},
		applied: func(_ Object, err error) bool { return errors.Is(err, ErrNotFound) },
	}
	_, err := w.run(ctx)
	return err
}

// startGeneration is called after a write, so that later reads do not join reads that began before it.
func (c *Client) startGeneration() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
}

// write is one conditional or unconditional change of an object.
type write struct {
	client *Client
	key    string
	expect int64
	// send makes one attempt and returns the new revision, 0 for a delete.
	send func() (int64, error)
	// applied reports whether the result of reading the object back shows that this write was applied.
	applied func(Object, error) bool
}

// run sends the write and, when an answer was lost, determines the outcome. It sends the write again only when it was
// not applied, or when it is conditional and the object still has the expected revision: then at most one of the
// attempts can be applied.
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
		heldBack := errors.Is(err, ErrHeldBack)
		if lost && !heldBack {
			settled, revision, err := w.readBack(ctx, err)
			if settled {
				return revision, err
			}
			heldBack = heldBack || errors.Is(err, ErrHeldBack)
		}
		if attempt == maxAttempts || heldBack || sleep(ctx, wait.NextBackOff()) != nil {
			if lost {
				return 0, unknown(err)
			}
			return 0, err
		}
	}
}

// readBack reads the object after a lost answer. settled is true when the outcome is known, or when sending the write
// again could not reveal it.
func (w *write) readBack(ctx context.Context, cause error) (settled bool, revision int64, err error) {
	if w.expect == AnyRevision {
		return true, 0, unknown(cause)
	}
	o, err := w.client.getOnce(ctx, w.key)
	switch {
	case w.applied(o, err):
		callCounts.Add("lost_answer_resolved", 1)
		return true, o.Revision, nil
	case errors.Is(err, ErrUnavailable):
		return false, 0, err
	case err == nil && o.Revision == w.expect, errors.Is(err, ErrNotFound) && w.expect == CreateOnly:
		return false, 0, nil
	}
	// The object holds another write; this one may have been applied before it.
	return true, 0, unknown(cause)
}

package confsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/oklog/ulid/v2"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/config"
	"trefoilplank.example/pkg/decision/confchain"
	"trefoilplank.example/pkg/decision/dissemination"
)

const (
	// maxAttempts bounds the attempts to accept a change without IfMatch while other changes are accepted first.
	maxAttempts = 10
	// cleanTimeout bounds the deletion of payloads after a change.
	cleanTimeout = 10 * time.Second
	// sweepEvery is the number of versions between two searches for abandoned payloads, and sweepLimit is the number of
	// objects that a search reads.
	sweepEvery, sweepLimit = 64, 16
)

// errRaced means that another change updated the head first and this one was not accepted.
var errRaced = confchain.Error.New("another change was accepted first")

// Apply has a change accepted and returns its version. It implements config.Accepter.
func (c *Controller) Apply(ctx context.Context, change config.Change) (int64, error) {
	digest, err := confchain.ChangeDigest(change)
	if err != nil {
		return 0, err
	}
	select {
	case c.applying <- struct{}{}:
		defer func() { <-c.applying }()
	case <-ctx.Done():
		return 0, notAccepted(ctx.Err())
	}
	for range maxAttempts {
		version, err := c.tryApply(ctx, change, digest)
		c.recordAttempt(change, version, err)
		if !errors.Is(err, errRaced) {
			return version, err
		}
	}
	return 0, fmt.Errorf("%w: %d other changes were accepted first", store.ErrUnavailable, maxAttempts)
}

// recordAttempt records the outcome of an attempt. A change that was not accepted is recorded under the newest version
// known.
func (c *Controller) recordAttempt(change config.Change, version int64, err error) {
	decision, reason := "accepted", "the head was written, or the change was accepted before under its key"
	var race *config.RaceError
	switch {
	case err == nil:
	case errors.As(err, &race), errors.Is(err, errRaced):
		decision, reason = "refused-race", err.Error()
	case errors.Is(err, store.ErrUnknown):
		decision, reason = "unknown", err.Error()
	default:
		decision, reason = "refused", err.Error()
	}
	if err != nil {
		version = c.Accepted()
		if race != nil {
			version = race.Current
		}
	}
	c.recordDecision(version, decision, reason, config.Record{Key: change.Key, Who: change.Who})
}

// tryApply makes one attempt to have a change accepted and returns its version. digest identifies its documents. The
// error is errRaced if another change was accepted first.
func (c *Controller) tryApply(ctx context.Context, change config.Change, digest string) (int64, error) {
	head, revision, err := c.readForUpdate(ctx)
	if err != nil {
		return 0, notAccepted(err)
	}
	if version, err := head.CheckChange(change, digest, c.highestKnown()); version > 0 || err != nil {
		if version > 0 {
			// The node that accepted the change may have died before it pushed the version.
			c.storeHead.Set(head.History[0])
		}
		return version, err
	}
	base, err := c.baseConfig(ctx, head)
	if err != nil {
		return 0, notAccepted(err)
	}
	next := confchain.ApplyChange(base, change, head.NextVersion(c.highestKnown()))
	documents := api.Documents{Register: change.Register, Rules: change.Rules}
	if findings := documents.Check(next); len(findings) > 0 {
		return 0, findings
	}
	payload, err := confchain.EncodePayload(next)
	if err != nil {
		return 0, err
	}
	p := confchain.Proposal{
		Version: next.Version, Change: digest, Digest: confchain.Digest(payload.JSON), Attempt: ulid.Make().String(),
		Key: change.Key, Who: change.Who, When: time.Now(), Node: c.self,
	}
	if p.Chunks, err = c.writeChunks(ctx, p, payload); err != nil {
		return 0, notAccepted(err)
	}
	after := head.Append(p)
	err = c.writeHead(ctx, after, revision, p.Attempt)
	if errors.Is(err, errRaced) {
		go c.deleteAttempt(p)
	}
	if err != nil {
		return 0, err
	}
	c.publish(after, payload)
	return p.Version, nil
}

// highestKnown returns the highest version that this node or a live member knows.
func (c *Controller) highestKnown() int64 {
	version := c.Accepted()
	for _, m := range c.board.Members.Value().Live {
		version = max(version, m.ConfigVersion)
	}
	return version
}

// notAccepted wraps an error from before the head was written. The change is not accepted then, whatever the outcome of
// the failed call, so the returned error must not match store.ErrUnknown.
func notAccepted(err error) error {
	return fmt.Errorf("%w: not accepted: %v", store.ErrUnavailable, err)
}

// readForUpdate returns the head and its revision from a read that begins after this call.
func (c *Controller) readForUpdate(ctx context.Context) (confchain.Head, int64, error) {
	o, err := c.store.Get(store.WithFresh(ctx), confchain.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return confchain.Head{}, store.CreateOnly, nil
	}
	if err != nil {
		return confchain.Head{}, 0, err
	}
	head, err := confchain.DecodeHead(o.Value)
	return head, o.Revision, err
}

// baseConfig returns the configuration of the version that the head names, and brings it into force here if it is new.
func (c *Controller) baseConfig(ctx context.Context, head confchain.Head) (api.Config, error) {
	if head.Version() == 0 {
		return api.Config{}, nil
	}
	p, source, err := c.findPayload(ctx, head.History[0], head.History[0].Node)
	if err != nil {
		return api.Config{}, err
	}
	if err := c.install(head.History[0], p, source); err != nil {
		return api.Config{}, err
	}
	return p.Config()
}

// writeChunks stores the payload of a proposal and returns the number of its chunks.
func (c *Controller) writeChunks(ctx context.Context, p confchain.Proposal, payload confchain.Payload) (int, error) {
	data, err := payload.Compress()
	if err != nil {
		return 0, err
	}
	chunks := confchain.SplitChunks(data)
	keys, err := confchain.Entry{Record: config.Record{Version: p.Version}, Attempt: p.Attempt, Chunks: len(chunks)}.ChunkKeys()
	if err != nil {
		return 0, err
	}
	for i, k := range keys {
		if _, err := c.store.Put(ctx, k, chunks[i], store.CreateOnly); err != nil {
			return 0, err
		}
	}
	return len(chunks), nil
}

// writeHead writes the head if its revision is still expect, and returns errRaced if it is not. After a lost answer it
// looks for the attempt in the history of the stored head: if the head has changed and does not contain the attempt, the
// conditional write can't be applied any more.
func (c *Controller) writeHead(ctx context.Context, head confchain.Head, expect int64, attempt string) error {
	_, err := c.store.Put(ctx, confchain.HeadKey, head.Encode(), expect)
	switch {
	case errors.Is(err, store.ErrConflict):
		return errRaced
	case !errors.Is(err, store.ErrUnknown):
		return err
	}
	current, revision, readErr := c.readForUpdate(ctx)
	if readErr != nil || revision == expect {
		return err
	}
	switch found, complete := current.FindAttempt(head.Version(), attempt); {
	case found:
		return nil
	case complete:
		return errRaced
	}
	return err
}

// publish brings a change that this node had accepted into force, pushes it to the other nodes and deletes old payloads.
func (c *Controller) publish(head confchain.Head, payload confchain.Payload) {
	base := c.InForce()
	if err := c.install(head.History[0], payload, "accepted here"); err != nil {
		klog.Errorf("bring accepted configuration version %d into force: %v", head.Version(), err)
		return
	}
	c.announce(base, c.steps(func(v dissemination.View) []dissemination.Step {
		return c.forwarder.Originate(v, c.self, uint64(head.Version()), dissemination.LeadHead)
	}))
	go c.deleteOldPayloads(head)
}

// deleteAttempt deletes the chunks of an attempt that is known not to be accepted.
func (c *Controller) deleteAttempt(p confchain.Proposal) {
	ctx, cancel := context.WithTimeout(context.Background(), cleanTimeout)
	defer cancel()
	keys, err := confchain.Entry{Record: config.Record{Version: p.Version}, Attempt: p.Attempt, Chunks: p.Chunks}.ChunkKeys()
	for _, k := range keys {
		if err == nil {
			err = c.store.Delete(store.WithPriority(ctx, store.PriorityStatus), k, store.AnyRevision)
		}
	}
	if err != nil {
		klog.V(1).Infof("delete payload of a change that was not accepted: %v", err)
	}
}

// deleteOldPayloads deletes the payload of the version that no node needs any more. Every sweepEvery versions it also
// searches for payloads that nodes left behind when they died during an attempt.
func (c *Controller) deleteOldPayloads(head confchain.Head) {
	ctx, cancel := context.WithTimeout(store.WithPriority(context.Background(), store.PriorityStatus), cleanTimeout)
	defer cancel()
	var keys []string
	if len(head.History) > confchain.KeptPayloads {
		keys, _ = head.History[confchain.KeptPayloads].ChunkKeys()
	}
	if head.Version()%sweepEvery == 0 {
		page, err := c.store.List(ctx, confchain.ChunkKeyPrefix, "", sweepLimit)
		for _, o := range page.Objects {
			if v, ok := confchain.ChunkVersion(o.Key); err == nil && ok && v <= head.Version()-confchain.KeptPayloads {
				keys = append(keys, o.Key)
			}
		}
	}
	for _, k := range keys {
		if err := c.store.Delete(ctx, k, store.AnyRevision); err != nil && !errors.Is(err, store.ErrNotFound) {
			klog.V(1).Infof("delete old configuration payload: %v", err)
			return
		}
	}
}

// History returns the records of the accepted changes in the head. It implements config.Accepter.
func (c *Controller) History(ctx context.Context) ([]config.Record, error) {
	head, _, err := c.readForUpdate(ctx)
	if err != nil {
		return nil, err
	}
	return head.Records(), nil
}

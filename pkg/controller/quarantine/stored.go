package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/quarantine"
	"trefoilplank.example/pkg/wait"
)

const (
	// storedPrefix is the key prefix of quarantines in the store; the fingerprint follows it.
	storedPrefix = "quarantine/"
	// storeTimeout bounds one call, and storeRetry is the pause after one that failed, with up to half of it added at
	// random.
	storeTimeout, storeRetry = 2 * time.Second, time.Second
)

// storedQuarantine is a quarantine in the store, for nodes that start when no other node knows of it.
type storedQuarantine struct {
	Fingerprint string `json:"fingerprint"`
	// UntilMS is the end of the quarantine in Unix milliseconds.
	UntilMS int64 `json:"until_ms"`
}

// storeQuarantine stores a quarantine in the background, unless this node does not know the fingerprint as quarantined. It
// gives up when the quarantine ends or ctx does.
func (c *Controller) storeQuarantine(ctx context.Context, fingerprint string) {
	c.mu.Lock()
	record, known := c.table.Export(fingerprint, time.Now())
	c.mu.Unlock()
	if c.Store == nil || !known || record.Refused <= 0 {
		return
	}
	until := time.Now().Add(record.Refused)
	value, err := json.Marshal(storedQuarantine{fingerprint, until.UnixMilli()})
	if err != nil {
		klog.ErrorS(err, "Quarantine can't be encoded", "fingerprint", fingerprint)
		return
	}
	go func() {
		for ctx.Err() == nil && time.Now().Before(until) {
			call, cancel := context.WithTimeout(ctx, storeTimeout)
			err := c.putQuarantine(call, fingerprint, until, value)
			cancel()
			if err == nil {
				klog.InfoS("Stored quarantine", "fingerprint", fingerprint, "until", until)
				return
			}
			klog.InfoS("Quarantine not stored, retrying", "fingerprint", fingerprint, "err", err)
			_ = wait.Sleep(ctx, storeRetry+rand.N(storeRetry/2))
		}
	}()
}

// putQuarantine stores a quarantine unless the store holds one of the fingerprint that ends later. A write that is carried out late replaces no
// later one.
func (c *Controller) putQuarantine(ctx context.Context, fingerprint string, until time.Time, value []byte) error {
	o, err := c.Store.Get(ctx, storedPrefix+fingerprint)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	var stored storedQuarantine
	if o.Revision > 0 && json.Unmarshal(o.Value, &stored) == nil && stored.UntilMS >= until.UnixMilli() {
		return nil
	}
	_, err = c.Store.Put(ctx, storedPrefix+fingerprint, value, o.Revision)
	return err
}

// readStored adds the quarantines in the store to the table and deletes those that have ended. It repeats failed reads
// until ctx ends.
func (c *Controller) readStored(ctx context.Context) {
	attempted := sync.OnceFunc(func() { close(c.storedRead) })
	defer attempted()
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		page, err := store.ListAll(call, c.Store, storedPrefix)
		cancel()
		if err == nil {
			for _, o := range page.Objects {
				c.addStored(ctx, o)
			}
			return
		}
		attempted()
		klog.InfoS("Quarantines not read from the store, retrying", "err", err)
		_ = wait.Sleep(ctx, storeRetry+rand.N(storeRetry/2))
	}
}

// awaitStored waits, at most for storeTimeout, until a node that starts has tried to read the stored quarantines.
func (c *Controller) awaitStored() {
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case <-c.storedRead:
	case <-timer.C:
	}
}

func (c *Controller) addStored(ctx context.Context, o store.Object) {
	var q storedQuarantine
	if err := json.Unmarshal(o.Value, &q); err != nil || storedPrefix+q.Fingerprint != o.Key {
		klog.ErrorS(err, "Invalid stored quarantine ignored", "key", o.Key)
		return
	}
	if left := min(time.Until(time.UnixMilli(q.UntilMS)), quarantine.QuarantineDuration); left > 0 {
		c.mergeRecords([]quarantine.Record{{Fingerprint: q.Fingerprint, Refused: left}})
		klog.InfoS("Read quarantine from the store", "fingerprint", q.Fingerprint, "left", left)
		return
	}
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := c.Store.Delete(call, o.Key, o.Revision); err != nil && !errors.Is(err, store.ErrNotFound) {
		klog.InfoS("Ended quarantine not deleted", "key", o.Key, "err", err) // The next node that starts deletes it.
	}
}

package batch

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/batch/filestore"
	"trefoilplank.example/pkg/batch/jobstore"
	"trefoilplank.example/pkg/decision/rendezvous"
)

// Times and page sizes of retention. Each round reads one page of the oldest uploads, ended jobs and files.
const (
	retentionInterval = 5 * time.Minute
	retentionPageSize = 100
	// filePageSize is smaller, since the record of a large file takes up to about 100 KB.
	filePageSize = 20
	// abandonedUploadAge is the age at which the data of an upload without a file record is removed. It is well above the
	// longest time that an upload may take.
	abandonedUploadAge = 24 * time.Hour
)

// retentionLoop removes finished jobs and files whose retention time is over, and the data of abandoned uploads. One live
// node is responsible for this.
func (c *Controller) retentionLoop(ctx context.Context) {
	for {
		sleep(ctx, retentionInterval/2+rand.N(retentionInterval))
		if ctx.Err() != nil {
			return
		}
		if rendezvous.Owner("batch-retention", c.liveNodes()) != c.Node {
			continue
		}
		if err := c.Collect(ctx, time.Now()); err != nil {
			klog.V(2).InfoS("Retention round failed and is repeated in the next round", "err", err)
		}
	}
}

// Collect runs one round of retention. It may run on several nodes at once.
func (c *Controller) Collect(ctx context.Context, now time.Time) error {
	for _, f := range []func(context.Context, time.Time) error{c.collectUploads, c.collectJobs, c.collectFiles} {
		if err := f(ctx, now); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) collectUploads(ctx context.Context, now time.Time) error {
	page, err := c.Store.List(ctx, filestore.UploadPrefix, "", retentionPageSize)
	if err != nil {
		return err
	}
	for _, o := range page.Objects {
		started, err := time.Parse(time.RFC3339, string(o.Value))
		if err != nil || now.Sub(started) < abandonedUploadAge {
			continue
		}
		id := strings.TrimPrefix(o.Key, filestore.UploadPrefix)
		_, err = filestore.Get(ctx, c.Store, id)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if err := filestore.CleanUpUpload(ctx, c.Store, id, err == nil); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) collectJobs(ctx context.Context, now time.Time) error {
	page, err := c.Store.List(ctx, jobstore.EndedPrefix, "", retentionPageSize)
	if err != nil {
		return err
	}
	for _, o := range page.Objects {
		var e jobstore.EndedJob
		if err := json.Unmarshal(o.Value, &e); err != nil || now.Sub(e.At) < c.Retention {
			continue
		}
		if err := c.jobs.Remove(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) collectFiles(ctx context.Context, now time.Time) error {
	page, err := c.Store.List(ctx, filestore.MetaPrefix, "", filePageSize)
	if err != nil {
		return err
	}
	for _, o := range page.Objects {
		m, err := filestore.Decode(o.Value)
		if err != nil || now.Before(m.Expires) {
			continue
		}
		if err := filestore.Remove(ctx, c.Store, m); err != nil {
			return err
		}
	}
	return nil
}

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

// Times and bounds of retention. Each round reads one page of the oldest entries of three lists.
const (
	retentionEvery = 5 * time.Minute
	retentionPage  = 100
	// metaPage is smaller, since the record of a large file takes up to about 100 KB.
	metaPage = 20
	// uploadAge is when an upload that has no file record is given up, well above the longest upload.
	uploadAge = 24 * time.Hour
)

// retentionLoop removes finished jobs and files after their time, and what abandoned uploads left behind.
func (c *Controller) retentionLoop(ctx context.Context) {
	for {
		sleep(ctx, retentionEvery/2+rand.N(retentionEvery))
		if ctx.Err() != nil {
			return
		}
		if rendezvous.Owner("batch-retention", c.liveNodes()) != c.Node {
			continue
		}
		if err := c.Collect(ctx, time.Now()); err != nil {
			klog.V(2).InfoS("Retention stopped; it goes on with the next round", "err", err)
		}
	}
}

// Collect does one round of retention. It may run on several nodes at once.
func (c *Controller) Collect(ctx context.Context, now time.Time) error {
	for _, f := range []func(context.Context, time.Time) error{c.collectUploads, c.collectJobs, c.collectFiles} {
		if err := f(ctx, now); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) collectUploads(ctx context.Context, now time.Time) error {
	page, err := c.Store.List(ctx, filestore.UploadPrefix, "", retentionPage)
	if err != nil {
		return err
	}
	for _, o := range page.Objects {
		started, err := time.Parse(time.RFC3339, string(o.Value))
		if err != nil || now.Sub(started) < uploadAge {
			continue
		}
		id := strings.TrimPrefix(o.Key, filestore.UploadPrefix)
		_, err = filestore.Get(ctx, c.Store, id)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return err
		}
		if err := filestore.Settle(ctx, c.Store, id, err == nil); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) collectJobs(ctx context.Context, now time.Time) error {
	page, err := c.Store.List(ctx, jobstore.EndedPrefix, "", retentionPage)
	if err != nil {
		return err
	}
	for _, o := range page.Objects {
		var e jobstore.Ended
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
	page, err := c.Store.List(ctx, filestore.MetaPrefix, "", metaPage)
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

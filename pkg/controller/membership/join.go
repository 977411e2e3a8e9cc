package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/decision/membership"
)

const (
	// leaseReadInterval is the time between two reads of lease records by the head of a zone. Watching them
	// instead would bring every renewal to every relay: 17 KB/s with 380 nodes.
	leaseReadInterval = 10 * time.Second
	// joinRetry is the time between the first attempts to learn members; it doubles up to joinRetryMax.
	joinRetry, joinRetryMax = time.Second, 4 * time.Second
	// pageSize is the number of lease records in one read; the share of one zone at the two-year target is 48.
	pageSize = 200
	// maxSeeds bounds the addresses that are kept over a restart.
	maxSeeds = 16
)

// join learns the first members from the store, or from seeds and cached addresses while it is down.
func (c *Controller) join(ctx context.Context) {
	for pause := joinRetry; ctx.Err() == nil; pause = min(2*pause, joinRetryMax) {
		err := c.readSlice(ctx, "", "")
		if err == nil || c.joinPeers(ctx) {
			break
		}
		if pause == joinRetry {
			klog.Warningf("no members known yet: %v", err)
		}
		wait(ctx, pause+rand.N(pause))
	}
	c.mu.Lock()
	self := c.table.Self()
	c.mu.Unlock()
	c.announce([]membership.Update{self})
}

// joinPeers asks seeds and cached addresses for members until one answers. An address of this node itself is no answer.
func (c *Controller) joinPeers(ctx context.Context) bool {
	addresses := append(slices.Clone(c.o.Seeds), c.cachedAddresses()...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, a := range addresses {
		if a != c.o.Self.PeerAddress && c.syncAddress(ctx, a) == nil {
			return true
		}
	}
	return false
}

// readLeases reads this node's share of the lease records while it is the head of its zone.
func (c *Controller) readLeases(ctx context.Context) error {
	return c.every(ctx, leaseReadInterval, func(ctx context.Context) {
		c.cacheAddresses()
		view := c.view()
		if view.RelayRank(c.name) != 0 {
			return
		}
		after, until := view.Slice(c.name)
		if err := c.readSlice(ctx, after, until); err != nil {
			klog.V(1).Infof("read lease records: %v", err)
		}
	})
}

// readSlice takes the lease records with names above after, up to until or without an upper end.
func (c *Controller) readSlice(ctx context.Context, after, until string) error {
	ctx = store.WithPriority(ctx, store.PriorityStatus)
	if after != "" {
		after = lease.Prefix + after
	}
	for {
		page, err := c.o.Store.List(ctx, lease.Prefix, after, pageSize)
		if err != nil {
			c.mu.Lock()
			c.table.StoreFailed()
			c.mu.Unlock()
			return err
		}
		done := c.takeRecords(ctx, page.Objects, until)
		if done || page.Next == "" {
			return nil
		}
		after = page.Next
	}
}

// takeRecords takes the records of one page and reports whether the end of the range was reached.
func (c *Controller) takeRecords(ctx context.Context, objects []store.Object, until string) bool {
	var news []membership.Update
	var remove []store.Object
	done := false
	c.mu.Lock()
	now := time.Now()
	c.table.StoreAnswered(now)
	for _, o := range objects {
		if done = until != "" && o.Key > lease.Prefix+until; done {
			break
		}
		r, err := lease.Decode(o.Key, o.Value, o.Revision)
		if err != nil {
			klog.Warningf("lease record: %v", err)
			continue
		}
		more, old := c.table.Lease(r, o.Revision, now)
		news = append(news, more...)
		if old {
			remove = append(remove, o)
		}
	}
	c.publish()
	c.mu.Unlock()
	c.announce(news)
	for _, o := range remove {
		// Conditional, so that a node that comes back in this moment keeps its record.
		if err := c.o.Store.Delete(ctx, o.Key, o.Revision); err != nil {
			klog.V(1).Infof("remove %s: %v", o.Key, err)
		}
	}
	return done
}

// followDraining makes the drain state of this node known.
func (c *Controller) followDraining(ctx context.Context) error {
	for ctx.Err() == nil {
		draining, revision := c.o.Board.Draining.Get()
		c.mu.Lock()
		news := c.table.SetDraining(draining)
		c.publish()
		c.mu.Unlock()
		c.announce(news)
		select {
		case <-c.o.Board.Draining.Changed(revision):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// Leave tells the other nodes that this node stops. It returns when the first of them know or ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	steps := c.view().Origin(c.name)
	c.mu.Lock()
	news := c.table.Leave()
	c.mu.Unlock()
	var sent sync.WaitGroup
	for _, s := range steps {
		sent.Go(func() { c.deliver(ctx, PushArgs{Updates: news}, s) })
	}
	sent.Wait()
}

// reportVersions tells the head of the zone which version is in force here, and as the head tells the fleet about
// the zone when something changed.
func (c *Controller) reportVersions(ctx context.Context) {
	view, version := c.view(), c.version()
	rank := view.RelayRank(c.name)
	zone := c.o.Self.AvailabilityZone
	c.mu.Lock()
	changed := version != c.reported.version
	c.versionsDue = c.versionsDue || changed
	due := rank == 0 && c.versionsDue
	c.versionsDue = c.versionsDue && !due
	c.mu.Unlock()
	if due {
		c.reported.version = version
		v := c.zoneVersions(zone)
		if c.takeVersions(v) {
			c.send(PushArgs{Versions: &v}, view.Origin(c.name))
		}
		return
	}
	relays := view.Relays(zone)
	if rank == 0 || len(relays) == 0 || !changed && relays[0] == c.reported.head {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := ReportArgs{From: c.name, Version: version}
	if err := c.o.Peers.Call(ctx, relays[0], "Membership.Report", &args, &PushReply{}); err == nil {
		c.reported = report{head: relays[0], version: version}
	}
}

// report is what this node last told the head of its zone; only reportVersions uses it.
type report struct {
	head    string
	version int64
}

// zoneVersions returns the report of a zone.
func (c *Controller) zoneVersions(zone string) Versions {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Versions{AvailabilityZone: zone, At: max(time.Now().UnixMilli(), c.reports[zone]+1), Behind: map[string]int64{}}
	live := c.table.Live().Live
	for _, m := range live {
		if m.AvailabilityZone == zone {
			v.Version = max(v.Version, m.ConfigVersion)
		}
	}
	for _, m := range live {
		if m.AvailabilityZone == zone && m.ConfigVersion != v.Version {
			v.Behind[m.Name] = m.ConfigVersion
		}
	}
	return v
}

// cachedAddresses returns the peer addresses kept from an earlier run.
func (c *Controller) cachedAddresses() []string {
	if c.o.CacheFile == "" {
		return nil
	}
	b, err := os.ReadFile(c.o.CacheFile)
	var addresses []string
	if err == nil {
		err = json.Unmarshal(b, &addresses)
	}
	if err != nil {
		klog.V(1).Infof("cached peers: %v", err)
		return nil
	}
	return addresses
}

// cacheAddresses keeps some peer addresses for a start while the store is down. The file is replaced as a whole.
func (c *Controller) cacheAddresses() {
	if c.o.CacheFile == "" {
		return
	}
	var addresses []string
	for name, m := range c.o.Board.Members.Value().Live {
		if name != c.name && len(addresses) < maxSeeds {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	if len(addresses) == 0 {
		return
	}
	b, err := json.Marshal(addresses)
	if err == nil {
		temporary := filepath.Join(filepath.Dir(c.o.CacheFile), "."+filepath.Base(c.o.CacheFile)+".new")
		if err = os.WriteFile(temporary, b, 0o600); err == nil {
			err = os.Rename(temporary, c.o.CacheFile)
		}
	}
	if err != nil {
		klog.Warningf("keep peer addresses: %v", err)
	}
}

package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/decision/dissemination"
	"trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/decision/membership"
)

const (
	// leaseReadMin is the least time between two reads of lease records by one relay of a zone, and
	// leaseReadPerRecord stretches it so that reading takes at most 0.5 KB/s: 38 s for the 48 records of a zone at
	// the two-year target. Watching the records would bring every renewal to every relay: 16 KB/s with 380 nodes.
	leaseReadMin       = 10 * time.Second
	leaseReadPerRecord = 800 * time.Millisecond
	// joinRetry is the time between the first attempts to learn members; it doubles up to joinRetryMax.
	joinRetry, joinRetryMax = time.Second, 4 * time.Second
	// aloneReads is how often a node that finds no other member reads the records again: others that start at the
	// same time, or that wait for the store to return, write theirs within seconds.
	aloneReads = 3
	// pageSize is the number of lease records in one read; the share of one zone at the two-year target is 48.
	pageSize = 200
	// maxSeeds bounds the addresses that are kept over a restart.
	maxSeeds = 16
)

// join learns the first members from the store, or from seeds and cached addresses while it is down.
func (c *Controller) join(ctx context.Context) {
	alone := 0
	for pause := joinRetry; ctx.Err() == nil; pause = min(2*pause, joinRetryMax) {
		err := c.readSlice(ctx, "", "")
		if err == nil && (c.view().Len() > 1 || alone == aloneReads) || c.joinPeers(ctx) {
			break
		}
		if err == nil {
			alone++
		} else if pause == joinRetry {
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

// readLeases reads this node's share of the lease records while that is its part.
func (c *Controller) readLeases(ctx context.Context) error {
	for ctx.Err() == nil {
		view := c.view()
		records := view.Len() / max(1, view.Zones())
		wait(ctx, max(leaseReadMin, time.Duration(records)*leaseReadPerRecord)*9/10+rand.N(leaseReadMin/5))
		if view = c.view(); ctx.Err() != nil || !view.ReadsLeases(c.name) {
			continue
		}
		after, until := view.Slice(c.name)
		if err := c.readSlice(ctx, after, until); err != nil {
			klog.V(1).Infof("read lease records: %v", err)
		}
	}
	return ctx.Err()
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
	// The view after leaving does not have this node in it.
	view := c.view()
	c.mu.Lock()
	args := PushArgs{Updates: c.table.Leave()}
	c.mu.Unlock()
	var sent sync.WaitGroup
	for _, s := range c.originSteps(view, args) {
		sent.Go(func() { c.deliver(ctx, args, s) })
	}
	sent.Wait()
}

// reportVersions tells the reporter of the zone which version is in force here, and as the reporter tells the fleet
// about the zone when something changed.
func (c *Controller) reportVersions(ctx context.Context) {
	view, version := c.view(), c.version()
	zone := c.o.Self.AvailabilityZone
	leads := view.Leads(zone, dissemination.LeadReporter)
	if len(leads) == 0 {
		return
	}
	now := report{to: leads[0], version: version}
	if now.to == c.name {
		c.mu.Lock()
		due := c.versionsDue || now != c.reported
		c.versionsDue = false
		c.mu.Unlock()
		c.reported = now
		if !due {
			return
		}
		v, sum := c.zoneVersions(zone)
		if sum == c.reportedZone {
			// The versions came with heartbeats, and were spread, before the nodes reported them.
			return
		}
		if c.awaitsMore(v) {
			c.mu.Lock()
			c.versionsDue = true
			c.mu.Unlock()
			return
		}
		if c.takeVersions(v) {
			c.reportedZone = sum
			args := PushArgs{Versions: &v}
			c.send(args, c.originSteps(view, args))
		}
		return
	}
	if now == c.reported {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := ReportArgs{From: c.name, Version: version}
	if err := c.o.Peers.Call(ctx, now.to, "Membership.Report", &args, &PushReply{}); err == nil {
		c.reported = now
	}
}

// awaitsMore reports whether a report is to wait for nodes of the zone that are still behind.
func (c *Controller) awaitsMore(v Versions) bool {
	if len(v.Behind) == 0 {
		c.incompleteSince = time.Time{}
		return false
	}
	if c.incompleteSince.IsZero() {
		c.incompleteSince = time.Now()
	}
	if time.Since(c.incompleteSince) < versionsPatience {
		return true
	}
	c.incompleteSince = time.Time{}
	return false
}

// report is what this node last told the reporter of the zone; only reportVersions uses it.
type report struct {
	to      string
	version int64
}

// zoneVersions returns the report of a zone and a hash of what it says, and of which processes, that is never 0.
func (c *Controller) zoneVersions(zone string) (Versions, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Versions{AvailabilityZone: zone, At: max(time.Now().UnixMilli(), c.reports[zone]+1), Behind: map[string]int64{}}
	live := c.table.Live().Live
	for _, m := range live {
		if m.AvailabilityZone == zone {
			v.Version = max(v.Version, m.ConfigVersion)
		}
	}
	sum := uint64(1)
	for _, m := range live {
		if m.AvailabilityZone != zone {
			continue
		}
		if m.ConfigVersion != v.Version {
			v.Behind[m.Name] = m.ConfigVersion
		}
		// Addition makes the hash independent of the order.
		sum += xxh3.HashString(fmt.Sprintf("%s\x00%d\x00%d", m.Name, m.Incarnation, m.ConfigVersion))
	}
	return v, max(sum, 1)
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
	live := c.o.Board.Members.Value().Live
	for _, name := range slices.Sorted(maps.Keys(live)) {
		if name != c.name && len(addresses) < maxSeeds {
			addresses = append(addresses, live[name].PeerAddress)
		}
	}
	if len(addresses) == 0 || slices.Equal(addresses, c.cached) {
		return
	}
	c.cached = addresses
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

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
	// leaseReadMin is the shortest time between two reads of the lease records by a relay. leaseReadPerRecord
	// lengthens it with the number of records so that reads take at most 0.5 KB/s: 38 s for the 48 records of a zone
	// at the two-year target. A watch would deliver every renewal to every relay: 16 KB/s with 380 nodes.
	leaseReadMin       = 10 * time.Second
	leaseReadPerRecord = 800 * time.Millisecond
	// joinRetryMin is the time between the first attempts to learn members; it doubles up to joinRetryMax.
	joinRetryMin, joinRetryMax = time.Second, 4 * time.Second
	// maxAloneReads is how often a node that finds no other member reads the records again. Nodes that start at the
	// same time, or that wait for the store to return, write their records within seconds.
	maxAloneReads = 3
	// pageSize is the number of lease records in one read; one zone has 48 at the two-year target.
	pageSize = 200
	// maxCachedAddresses bounds the peer addresses in the cache file.
	maxCachedAddresses = 16
)

// join learns the first members from the store, or from seeds and cached addresses while the store is down. Then it
// announces this node.
func (c *Controller) join(ctx context.Context) {
	aloneReads := 0
	for pause := joinRetryMin; ctx.Err() == nil; pause = min(2*pause, joinRetryMax) {
		err := c.readRecords(ctx, "", "")
		if err == nil && (c.view().MemberCount() > 1 || aloneReads == maxAloneReads) || c.joinViaPeers(ctx) {
			break
		}
		if err == nil {
			aloneReads++
		} else if pause == joinRetryMin {
			klog.Warningf("read lease records to find the first members: %v", err)
		}
		wait(ctx, pause+rand.N(pause))
	}
	c.mu.Lock()
	self := c.table.Self()
	c.mu.Unlock()
	c.announce([]membership.Update{self})
}

// joinViaPeers asks seeds and cached addresses, in random order, for members until one answers. It skips the address
// of this node.
func (c *Controller) joinViaPeers(ctx context.Context) bool {
	addresses := append(slices.Clone(c.options.Seeds), c.cachedAddresses()...)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, a := range addresses {
		if a != c.options.Self.PeerAddress && c.syncAddress(ctx, a) == nil {
			return true
		}
	}
	return false
}

// readLeases reads this node's share of the lease records periodically while the view assigns one to it.
func (c *Controller) readLeases(ctx context.Context) error {
	for ctx.Err() == nil {
		view := c.view()
		records := view.MemberCount() / max(1, view.ZoneCount())
		wait(ctx, max(leaseReadMin, time.Duration(records)*leaseReadPerRecord)*9/10+rand.N(leaseReadMin/5))
		if view = c.view(); ctx.Err() != nil || !view.ReadsLeases(c.name) {
			continue
		}
		after, until := view.LeaseRange(c.name)
		if err := c.readRecords(ctx, after, until); err != nil {
			klog.V(1).Infof("read lease records: %v", err)
		}
	}
	return ctx.Err()
}

// readRecords merges the lease records of nodes with names in (after, until]. An empty until means no upper bound.
func (c *Controller) readRecords(ctx context.Context, after, until string) error {
	ctx = store.WithPriority(ctx, store.PriorityStatus)
	if after != "" {
		after = lease.Prefix + after
	}
	for {
		page, err := c.options.Store.List(ctx, lease.Prefix, after, pageSize)
		if err != nil {
			c.mu.Lock()
			c.table.StoreFailed()
			c.mu.Unlock()
			return err
		}
		done := c.mergeRecords(ctx, page.Objects, until)
		if done || page.Next == "" {
			return nil
		}
		after = page.Next
	}
}

// mergeRecords merges one page of lease records into the table, deletes outdated records from the store, and reports
// whether the page reached the end of the range.
func (c *Controller) mergeRecords(ctx context.Context, objects []store.Object, until string) bool {
	var toAnnounce []membership.Update
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
			klog.Warningf("decode lease record: %v", err)
			continue
		}
		more, outdated := c.table.ObserveLease(r, o.Revision, now)
		toAnnounce = append(toAnnounce, more...)
		if outdated {
			remove = append(remove, o)
		}
	}
	c.publish()
	c.mu.Unlock()
	c.announce(toAnnounce)
	for _, o := range remove {
		// The delete is conditional on the revision, so that a node that returns meanwhile keeps its new record.
		if err := c.options.Store.Delete(ctx, o.Key, o.Revision); err != nil {
			klog.V(1).Infof("delete outdated lease record %s: %v", o.Key, err)
		}
	}
	return done
}

// followDraining announces each change of the board's Draining section for this node.
func (c *Controller) followDraining(ctx context.Context) error {
	for ctx.Err() == nil {
		draining, revision := c.options.Board.Draining.Get()
		c.mu.Lock()
		toAnnounce := c.table.SetDraining(draining)
		c.publish()
		c.mu.Unlock()
		c.announce(toAnnounce)
		select {
		case <-c.options.Board.Draining.Changed(revision):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// Leave announces that this node stops. It returns when the direct receivers have answered or ctx ends.
func (c *Controller) Leave(ctx context.Context) {
	// The view is read before Leave, after which it no longer contains this node.
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

// reportVersions sends the configuration version in force on this node to the reporter of its zone. On the reporter
// it sends the versions of all nodes of the zone to the fleet when they changed.
func (c *Controller) reportVersions(ctx context.Context) {
	view, version := c.view(), c.configVersion()
	zone := c.options.Self.AvailabilityZone
	leads := view.Leads(zone, dissemination.LeadReporter)
	if len(leads) == 0 {
		return
	}
	current := versionReport{to: leads[0], version: version}
	if current.to == c.name {
		c.mu.Lock()
		due := c.versionsDue || current != c.lastReport
		c.versionsDue = false
		c.mu.Unlock()
		c.lastReport = current
		if !due {
			return
		}
		v, sum := c.zoneVersions(zone)
		if sum == c.lastZoneHash {
			// Heartbeats already carried these versions, and they were distributed before the nodes reported them.
			return
		}
		if c.delaysReport(v) {
			c.mu.Lock()
			c.versionsDue = true
			c.mu.Unlock()
			return
		}
		if c.applyVersions(v) {
			c.lastZoneHash = sum
			args := PushArgs{Versions: &v}
			c.send(args, c.originSteps(view, args))
		}
		return
	}
	if current == c.lastReport {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	args := ReportArgs{From: c.name, Version: version}
	if err := c.options.Peers.Call(ctx, current.to, "Membership.Report", &args, &PushReply{}); err == nil {
		c.lastReport = current
	}
}

// delaysReport reports whether a zone report must wait, up to versionsMaxDelay, for nodes that are still behind.
func (c *Controller) delaysReport(v Versions) bool {
	if len(v.Behind) == 0 {
		c.incompleteSince = time.Time{}
		return false
	}
	if c.incompleteSince.IsZero() {
		c.incompleteSince = time.Now()
	}
	if time.Since(c.incompleteSince) < versionsMaxDelay {
		return true
	}
	c.incompleteSince = time.Time{}
	return false
}

// versionReport is a report of the version in force on this node to the reporter of its zone. Only reportVersions uses
// it.
type versionReport struct {
	to      string
	version int64
}

// zoneVersions returns the version report of a zone and a nonzero hash of its content and of the incarnations of the
// nodes in it.
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
		// Adding the hashes makes the sum independent of the map order.
		sum += xxh3.HashString(fmt.Sprintf("%s\x00%d\x00%d", m.Name, m.Incarnation, m.ConfigVersion))
	}
	return v, max(sum, 1)
}

// cachedAddresses returns the peer addresses that an earlier run wrote to the cache file.
func (c *Controller) cachedAddresses() []string {
	if c.options.CacheFile == "" {
		return nil
	}
	b, err := os.ReadFile(c.options.CacheFile)
	var addresses []string
	if err == nil {
		err = json.Unmarshal(b, &addresses)
	}
	if err != nil {
		klog.V(1).Infof("read cached peer addresses: %v", err)
		return nil
	}
	return addresses
}

// cacheAddresses writes up to maxCachedAddresses peer addresses to the cache file, for a start while the store is
// down. The file is replaced atomically.
func (c *Controller) cacheAddresses() {
	if c.options.CacheFile == "" {
		return
	}
	var addresses []string
	live := c.options.Board.Members.Value().Live
	for _, name := range slices.Sorted(maps.Keys(live)) {
		if name != c.name && len(addresses) < maxCachedAddresses {
			addresses = append(addresses, live[name].PeerAddress)
		}
	}
	if len(addresses) == 0 || slices.Equal(addresses, c.cachedFile) {
		return
	}
	c.cachedFile = addresses
	b, err := json.Marshal(addresses)
	if err == nil {
		temporary := filepath.Join(filepath.Dir(c.options.CacheFile), "."+filepath.Base(c.options.CacheFile)+".new")
		if err = os.WriteFile(temporary, b, 0o600); err == nil {
			err = os.Rename(temporary, c.options.CacheFile)
		}
	}
	if err != nil {
		klog.Warningf("write cached peer addresses: %v", err)
	}
}

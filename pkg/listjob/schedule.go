package listjob

import (
	"context"
	"slices"
	"time"

	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/decision/batchorder"
	"trefoilplank.example/pkg/decision/dispatch"
	decision "trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/routing"
)

const (
	// scheduleInterval is the longest time between two searches for a free slot.
	scheduleInterval = 250 * time.Millisecond
	// yieldMargin is by how much the time until an item is due must exceed its remaining run time, so that its run may
	// be stopped for an online request.
	yieldMargin = 1500 * time.Millisecond
	// urgentSlack is the slack below which an item may use the slots that are reserved for online requests.
	urgentSlack = 3 * time.Second
	// versionWait is how long an item with a part of its text waits for a slot on an upstream of the same software version.
	// After it the item takes any slot, and begins anew.
	versionWait = 1500 * time.Millisecond
	// maxWantedSlots limits the slots requested at once for a service.
	maxWantedSlots = 64
)

// schedule starts waiting items whenever slots are free.
func (c *Controller) schedule(ctx context.Context) {
	tick := time.NewTicker(scheduleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-c.wake:
		case <-c.options.Placer.Freed():
		}
		c.startWaitingItems(ctx)
	}
}

// startWaitingItems starts waiting items, the most urgent first, until their services have no free slot. Items
// whose route was removed or that are past retryUntil fail.
func (c *Controller) startWaitingItems(ctx context.Context) {
	if c.options.AwaitTable != nil {
		c.options.AwaitTable(ctx)
	}
	table := c.options.Table()
	if table == nil {
		return
	}
	now := time.Now()
	blocked := map[slotKind]bool{}
	list := c.waitingItems(table, now)
	c.sortByUrgency(list, table, now)
	for _, it := range list {
		route := table.Match(it.job.head.Host, it.Path)
		if route == nil && !it.job.routeRemoved(now) {
			continue
		}
		if route == nil || now.After(it.job.retryUntil()) {
			c.options.Log.Notice("item failed: no route or past its retention", "job", it.job.head.ID, "item", it.ID, "route_gone", route == nil, "after", it.lastEvent,
				"table_version", table.Version, "accepted_version", it.job.head.TableVersion)
			c.finishItem(it, Result{ID: it.ID, State: Failed})
			continue
		}
		service := route.Pick(0)
		need, waited := c.slotNeeded(it, service, now)
		if blocked[need] || blocked[slotKind{service: service}] || c.holdFailed(it, route, now) {
			continue
		}
		started := c.startRun(ctx, it, need, table.Service(service))
		if !started && waited {
			started = c.startRun(ctx, it, slotKind{service: service}, table.Service(service))
		}
		if !started {
			blocked[need] = true
		}
	}
}

// orderItem returns what the order of items depends on.
func (c *Controller) orderItem(it *item, service *routing.Service) batchorder.Item {
	return batchorder.Item{Due: it.job.due(), Remaining: c.remainingTime(it, service), Received: it.lines.Load()}
}

// sortByUrgency sorts waiting items, the first to start first.
func (c *Controller) sortByUrgency(list []*item, table *routing.Table, now time.Time) {
	order := make(map[*item]batchorder.Item, len(list))
	for _, it := range list {
		var service *routing.Service
		if route := table.Match(it.job.head.Host, it.Path); route != nil {
			service = table.Service(route.Pick(0))
		}
		order[it] = c.orderItem(it, service)
	}
	slices.SortFunc(list, func(a, b *item) int { return batchorder.Compare(order[a], order[b], now) })
}

// slotKind is what an item needs: a slot on any upstream of a service, or on one of a software version if bound is set.
type slotKind struct {
	service, version string
	bound            bool
}

// slotNeeded returns the slot that a waiting item needs, and whether it has waited so long for its software version that it
// takes any other slot.
func (c *Controller) slotNeeded(it *item, service string, now time.Time) (need slotKind, waited bool) {
	it.job.mu.Lock()
	defer it.job.mu.Unlock()
	if it.version == nil || !c.options.Placer.Serves(service, *it.version) {
		return slotKind{service: service}, false
	}
	since := it.waitingSince
	if it.notBefore.After(since) {
		since = it.notBefore
	}
	return slotKind{service, *it.version, true}, now.Sub(since) >= versionWait
}

// Wants returns the slots that online arrivals and waiting items could use, by service.
func (c *Controller) Wants() map[string]dispatch.Want {
	table := c.options.Table()
	if table == nil {
		return nil
	}
	now := time.Now()
	wants := c.options.Placer.Arrivals()
	for _, it := range c.waitingItems(table, now) {
		route := table.Match(it.job.head.Host, it.Path)
		if route == nil {
			continue
		}
		service := route.Pick(0)
		want := wants[service]
		if want.Items == maxWantedSlots {
			continue
		}
		want.Items++
		want.Zone = c.options.Placer.Zone()
		if c.orderItem(it, table.Service(service)).Urgent(urgentSlack, now) {
			want.Urgent++
		}
		wants[service] = want
	}
	return wants
}

// waitingItems returns the items that can start by a configuration, in no particular order.
func (c *Controller) waitingItems(table *routing.Table, now time.Time) []*item {
	var list []*item
	o := c.ownership()
	for _, j := range c.ownedJobs() {
		if !o.mayRun(j) || !j.covers(table) {
			continue
		}
		c.setTimes(j, table)
		j.mu.Lock()
		if j.isOpen() {
			for _, it := range j.items {
				if it.phase == waiting && !now.Before(it.notBefore) {
					list = append(list, it)
				}
			}
		}
		j.mu.Unlock()
	}
	return list
}

// startRun starts a run of an item. It returns false if no slot is free.
func (c *Controller) startRun(ctx context.Context, it *item, need slotKind, service *routing.Service) bool {
	var version *string
	if need.bound {
		version = &need.version
	}
	var upstream dispatch.Upstream
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	run := c.options.Placer.StartBatch(need.service, version, func(u dispatch.Upstream) *placer.BatchRun {
		upstream = u
		return &placer.BatchRun{
			Item: it.ID, Stop: cancel,
			CanStop: func(now time.Time) bool {
				return c.orderItem(it, service).MayStop(yieldMargin, now)
			},
		}
	})
	if run == nil {
		cancel()
		return false
	}
	it.job.mu.Lock()
	if it.phase != waiting || !it.job.isOpen() {
		it.job.mu.Unlock()
		cancel()
		c.options.Placer.EndBatch(run)
		return true
	}
	it.phase, it.cancelRun, it.runStart = running, cancel, time.Now()
	if it.version != nil && *it.version != upstream.SoftwareVersion {
		c.options.Log.Notice("item begins anew at another software version", "job", it.job.head.ID, "item", it.ID, "before", *it.version,
			"version", upstream.SoftwareVersion, "after", it.lastEvent)
		c.options.Metrics.countRun("begun_anew")
		it.discardText()
	}
	it.runLines = it.lines.Load()
	it.job.mu.Unlock()
	trial := c.options.FailedRuns.ItemBegan(func() decision.Works { return c.works(it) })
	go func() {
		defer cancel()
		began := time.Now()
		err := c.runItem(ctx, it, upstream)
		c.lengths.observePace(need.service, it.lines.Load()-it.runLines, time.Since(began))
		c.options.Placer.EndBatch(run)
		c.recordFailedRun(ctx, it, upstream, err)
		c.options.FailedRuns.ItemEnded(c.works(it), trial)
		c.runEnded(ctx, it, upstream, err)
	}()
	return true
}

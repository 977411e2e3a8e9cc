package loadshare

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/eventlog"
)

const testLimit = 8

// limitHub returns a hub that knows an upstream with a limit of testLimit requests per second.
func limitHub(name string) *hub {
	p := placer.New("zone", &eventlog.Log{})
	p.SetUpstreams([]dispatch.Upstream{{ID: "u", Service: "s", Slots: 100}})
	p.MergeAnnounced(map[string]dispatch.Announcement{"u": {Limit: testLimit}})
	h := newHub(&Options{
		Fleet: testFleet(name, "node"), Grants: p.Grants, Revisions: func() map[string]int64 { return nil }, Announced: p,
		AddEvidence: func(map[string]outlier.Evidence) {}, Outliers: func() map[string]float64 { return nil }, Log: &eventlog.Log{},
	})
	return &h
}

// Guards against requests beyond the limit that an upstream names, when the node that divides it was frozen and returns, or is
// replaced: each of two hubs allowed the requests that the limit leaves after a quiet time.
func TestLimitHoldsWhenTheHubChanges(t *testing.T) {
	// As the users' rule has it: in some 4 s one and a half times what the limit allows, and 5 more.
	const window, most = 4 * time.Second, testLimit*4*3/2 + 5
	const low, high, interval = 3, 50, 50 * time.Millisecond
	for name, earlierBuild := range map[string]bool{"hub of this build": false, "hub of an earlier build": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := limitHub("first"), limitHub("second")
				var requests limitedRequests
				var sent []time.Time
				granted, waiting := 0, 0.0
				last := first
				run := func(h *hub, perSecond float64, d time.Duration) {
					for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(interval) {
						waiting = min(waiting+perSecond*interval.Seconds(), perSecond)
						started := 0
						for ; granted > 0 && waiting >= 1; granted-- {
							sent = append(sent, time.Now())
							waiting--
							started++
						}
						if started > 0 {
							requests.add(map[string]int{"u": started}, time.Now())
						} else {
							requests.add(nil, time.Now())
						}
						var reply Totals
						h.handleReport(Report{Node: "node", Started: requests.unreported, CountsStarted: true,
							Wants: map[string]dispatch.Want{"s": {Waiting: int(waiting), Rate: perSecond}}}, &reply, time.Now())
						requests.confirmed(h != last, reply.BeginsEmpty && !earlierBuild)
						last = h
						granted = reply.Grant.Slots()["u"]
					}
				}
				if earlierBuild {
					first.options.Announced = withoutTerms{first.options.Announced}
					second.options.Announced = withoutTerms{second.options.Announced}
				}
				run(first, low, 6*time.Second)
				run(second, low, 4*time.Second)
				run(second, high, time.Second)
				run(first, high, 5*time.Second)
				run(second, high, 5*time.Second)
				assert.Assert(t, len(sent) > 10*testLimit, "only %d requests were sent", len(sent))
				for n, from := range sent {
					count := 0
					for _, at := range sent[n:] {
						if at.Sub(from) <= window {
							count++
						}
					}
					assert.Assert(t, count <= most, "%d requests in %s, %d allowed", count, window, most)
				}
			})
		})
	}
}

// withoutTerms is an Announced of an earlier build, whose allowances go on as if it had always been the hub.
type withoutTerms struct{ Announced }

func (withoutTerms) BeginTerm() {}

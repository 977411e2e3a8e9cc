package loadshare

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/controller/streamversions"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/eventlog"
)

// largeHub returns a hub of 295 nodes before 160 engines and five plain upstreams, and the next report of each node.
func largeHub(rng *rand.Rand) (*hub, []Report) {
	const nodes, engines = 295, 160
	var upstreams []dispatch.Upstream
	for n := range engines + 5 {
		service, slots := "engines", 7
		if n >= engines {
			service, slots = "lookups", 6
		}
		upstreams = append(upstreams, dispatch.Upstream{ID: fmt.Sprintf("i-%010x", n*2654435761), Address: fmt.Sprintf("10.0.0.%d:80", n), Service: service, Slots: slots, AvailabilityZone: fmt.Sprint("z", n%5)})
	}
	p := placer.New("z0", &eventlog.Log{})
	p.SetUpstreams(upstreams)
	var names []string
	for n := range nodes {
		names = append(names, fmt.Sprintf("edge-triolet-hall-%d", n))
	}
	o := &Options{
		Fleet: fleet.New(nil, fleet.Member{Name: names[0], Incarnation: 1, Weight: 1}, &eventlog.Log{}), Grants: p.Grants, AddEvidence: p.AddEvidence, Outliers: p.Outliers,
		Revisions: func() map[string]int64 {
			return map[string]int64{"config/": 1, "servers/": 1, "members/": 1, "quarantine/": 1}
		},
		FailedRuns: failedruns.New(failedruns.Options{Node: names[0], Others: func() []string { return nil }, Exchange: func() {}, Log: &eventlog.Log{}}),
		Streams:    streamversions.New(streamversions.Options{Log: &eventlog.Log{}}), Announced: p,
	}
	o.Fleet.SetRegistered(registered(names...))
	var reports []Report
	for _, name := range names {
		r := Report{Node: name, Incarnation: 1, HubIncarnation: 1, Loads: map[string]dispatch.Load{}, Wants: map[string]dispatch.Want{}, CountsStarted: true, Indexed: true}
		for range 3 {
			r.Loads[upstreams[rng.IntN(engines)].ID] = dispatch.Load{Online: 1}
		}
		r.Wants["engines"] = dispatch.Want{Items: rng.IntN(3), Rate: 4, Queue: 0.5}
		r.Wants["lookups"] = dispatch.Want{Rate: 1, Queue: 0.5}
		reports = append(reports, r)
	}
	h := newHub(o)
	return &h, reports
}

// BenchmarkLargeHub measures an answer of the hub at the size of 295 nodes and 165 upstreams, and its message at both ends.
func BenchmarkLargeHub(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	h, reports := largeHub(rng)
	now := time.Now()
	for _, r := range reports {
		h.handleReport(r, &Totals{}, now)
	}
	b.Run("answer", func(b *testing.B) {
		b.ReportAllocs()
		for n := range b.N {
			h.handleReport(reports[n%len(reports)], &Totals{}, now.Add(time.Duration(n)*300*time.Microsecond))
		}
	})
	var t Totals
	reports[0].Index = h.index.revision
	h.handleReport(reports[0], &t, now)
	var out bytes.Buffer
	enc, dec := gob.NewEncoder(&out), gob.NewDecoder(&out)
	b.Run("message", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if err := enc.Encode(&t); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(out.Len()), "bytes")
			var got Totals
			if err := dec.Decode(&got); err != nil {
				b.Fatal(err)
			}
		}
	})
}

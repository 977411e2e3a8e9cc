package operator

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/operator/status"
)

// Guards against a status without the time and reason of the last change of an institution, model, upstream or job.
func TestStatusNamesTheLastChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		changes := NewConfigChanges(f.board, time.Now)
		go func() { _ = changes.Run(t.Context()) }()
		reported := []status.Object{{Kind: status.KindJob, Name: "j", LastChange: time.Now()}}
		f.handler = New(Options{
			Node: "n1", Board: f.board, Config: f.accepter, KeyDigests: f.digests, ConfigChanges: changes,
			Providers: []status.Provider{status.ProviderFunc(func(context.Context) status.Report { return status.Report{Objects: reported} })},
		})
		start := time.Now()
		assert.Equal(t, f.apply(register+"---\n"+rules).Code, 200)
		synctest.Wait()
		time.Sleep(time.Hour)
		changed := strings.Replace(rules, "share: 1", "share: 2", 1)
		assert.Equal(t, f.apply(strings.Replace(register, "{name: m}", "{name: m, min_replicas: 1}", 1)+"---\n"+changed).Code, 200)
		f.board.Upstreams.Set(map[string]blackboard.UpstreamStatus{"e": {Health: blackboard.HealthEjected, Reason: "no answer", Since: start.Add(30 * time.Minute)}})
		synctest.Wait()
		time.Sleep(time.Hour)
		s := decodeBody[FleetStatus](t, f.call("GET", "/v1/admin/status", ""))
		for _, x := range []struct {
			object status.Object
			after  time.Duration
			why    string
		}{
			{s.Institutions[0], time.Hour, "configuration 2: rules share 1 -> 2"},
			{s.Models[0], time.Hour, "configuration 2: model min_replicas null -> 1"},
			{s.Upstreams[0], 30 * time.Minute, "no answer"},
			{s.Jobs[0], 0, "accepted; it waits for an idle slot of an upstream that can run it"},
		} {
			assert.Equal(t, x.object.LastChange.Sub(start), x.after, x.object.Name)
			assert.Equal(t, x.object.Why, x.why)
		}
	})
}

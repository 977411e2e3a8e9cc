package softwareversion

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/dispatch"
)

var start = time.Unix(1000, 0)

func upstreams(versions ...string) (list []dispatch.Upstream) {
	for n, v := range versions {
		list = append(list, dispatch.Upstream{ID: fmt.Sprint("u", n), Service: "s", SoftwareVersion: v})
	}
	return list
}

// Guards against taking the version that serves now for the one that began a stream while another one served, or that may
// have begun it before this node started. How long ago that was is not known: the stream may be as old as one can be.
func TestOnlyVersionOfALifetime(t *testing.T) {
	v := NewVersions()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	only := func(now int) string { return onlyVersion(v, at(now)) }
	assert.Equal(t, only(0), "?", "no list was seen")
	v.Observe(upstreams("v1"), at(0))
	assert.Equal(t, only(31), "?", "the stream may have begun at a version that was gone before the node started")
	assert.Equal(t, only(32), "v1")
	v.Observe(upstreams("v1", "v2"), at(100))
	assert.Equal(t, only(101), "?")
	v.Observe(upstreams("v2"), at(110))
	assert.Equal(t, only(114), "?", "the stream may have begun at the version that is gone, however little time its caller has left")
	assert.Equal(t, only(141), "?", "a node whose list is behind may have begun the stream at the version that is gone")
	assert.Equal(t, only(142), "v2")
	assert.Assert(t, v.MustRecord("s", at(112)))
	assert.Assert(t, !v.MustRecord("s", at(150)))
	v.Observe(nil, at(160))
	assert.Equal(t, only(161), "v2", "streams continue on upstreams whose entry is gone")
	v.Observe(upstreams("v1"), at(200))
	assert.Equal(t, only(202), "v1", "v2 is gone for long")
}

// onlyVersion returns the only version of service s, or "?".
func onlyVersion(v *Versions, now time.Time) string {
	if version, ok := v.Only("s", now); ok {
		return version
	}
	return "?"
}

// Guards against a fresh node that takes the version that it sees for the only one although another has left while no node ran,
// and against one that refuses streams for as long as they may last although only one version ever served.
func TestHistoryOfEarlierProcesses(t *testing.T) {
	earlier := NewVersions()
	earlier.Restore(History{CoveredSince: time.Unix(0, 0)}, start)
	earlier.Observe(upstreams("v1"), start)
	assert.Equal(t, onlyVersion(earlier, start), "v1", "no process ran before")
	history := earlier.History()
	now := start.Add(10 * time.Second)
	for name, c := range map[string]struct {
		list         []string
		restoreFirst bool
		history      History
		soon, later  string
	}{
		"one version":                   {[]string{"v1"}, true, history, "v1", "v1"},
		"one version, read late":        {[]string{"v1"}, false, history, "v1", "v1"},
		"replaced meanwhile":            {[]string{"v2"}, true, history, "?", "v2"},
		"replaced meanwhile, read late": {[]string{"v2"}, false, history, "?", "v2"},
		"another one came":              {[]string{"v1", "v2"}, true, history, "?", "?"},
		"no history":                    {[]string{"v1"}, true, History{}, "?", "v1"},
		"short history":                 {[]string{"v1"}, true, History{CoveredSince: now.Add(-5 * time.Second)}, "?", "v1"},
		"gone long ago": {[]string{"v1"}, true, History{
			CoveredSince: time.Unix(0, 0), Gone: map[string]map[string]time.Time{"s": {"v1": {}, "v0": now.Add(-time.Minute)}}}, "v1", "v1"},
		"gone lately": {[]string{"v1"}, true, History{
			CoveredSince: time.Unix(0, 0), Gone: map[string]map[string]time.Time{"s": {"v1": {}, "v0": now.Add(-time.Second)}}}, "?", "v1"},
		"gone in the future of this clock": {[]string{"v1"}, true, History{
			CoveredSince: time.Unix(0, 0), Gone: map[string]map[string]time.Time{"s": {"v1": {}, "v0": now.Add(time.Hour)}}}, "?", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			v := NewVersions()
			restore := func() {
				if !c.history.CoveredSince.IsZero() {
					v.Restore(c.history, now)
				}
			}
			if c.restoreFirst {
				restore()
			}
			v.Observe(upstreams(c.list...), now)
			if !c.restoreFirst {
				restore()
			}
			assert.Equal(t, onlyVersion(v, now.Add(3*time.Second)), c.soon)
			assert.Equal(t, onlyVersion(v, now.Add(Lifetime+introduction)), c.later)
		})
	}
}

// Guards against changes of versions that no later process hears of.
func TestObserveReportsChangesOfVersions(t *testing.T) {
	v := NewVersions()
	assert.Assert(t, v.Observe(upstreams("v1"), start))
	assert.Assert(t, !v.Observe(upstreams("v1", "v1"), start))
	assert.Assert(t, v.Observe(upstreams("v1", "v2"), start))
	assert.Assert(t, v.Observe(upstreams("v2"), start))
	assert.Assert(t, v.Observe(upstreams("v1", "v2"), start), "it is back")
	assert.Assert(t, !v.Observe(upstreams("v2", "v1"), start))
}

// Guards against a stream that begins at a version which other nodes do not know yet, so that they continue it at another.
func TestNewVersionBeginsNoStreamsAtFirst(t *testing.T) {
	v := NewVersions()
	list := upstreams("v1")
	v.Observe(list, start)
	assert.Assert(t, !list[0].StreamsFrom.After(start), "the version may have served for long")
	now := start.Add(time.Minute)
	list = upstreams("v1", "v2")
	v.Observe(list, now)
	assert.Assert(t, !list[0].StreamsFrom.After(now))
	assert.Equal(t, list[1].StreamsFrom, now.Add(introduction))
	list = upstreams("v2", "v2", "v1")
	v.Observe(list, now.Add(time.Second))
	assert.Equal(t, list[1].StreamsFrom, now.Add(introduction), "another upstream of the version")
	v.Observe(upstreams("v1"), now.Add(2*time.Second))
	list = upstreams("v1", "v2")
	v.Observe(list, now.Add(3*time.Second))
	assert.Equal(t, list[1].StreamsFrom, now.Add(introduction), "the version was gone for a moment")
}

func record(n int) Record {
	return Record{Stream: fmt.Sprint("stream", n), Service: "s", Version: "v1"}
}

func all(string) bool { return true }

// Guards against records that do not reach a process: when messages are limited, when an exchange begins only after streams
// have begun, or when another process becomes the hub.
func TestRecordsReachOtherProcesses(t *testing.T) {
	d, other := NewDirectory(), NewDirectory()
	const streams, limit = 10, 3
	for n := range streams {
		d.Add(record(n), "", start)
	}
	_, revision := d.Since(0, "other", limit, func(string) bool { return false }, start)
	assert.Equal(t, revision, int64(streams))
	records, _ := d.Since(revision, "other", limit, all, start)
	assert.Equal(t, len(records), 0)
	d.Touch("s")
	for range streams {
		records, revision = d.Since(revision, "other", limit, all, start.Add(time.Second))
		assert.Assert(t, len(records) <= limit)
		for _, r := range records {
			other.Add(r, "node", start.Add(time.Second))
		}
	}
	assert.Equal(t, other.Len(), streams)
	back, _ := other.Since(0, "node", streams, all, start.Add(time.Second))
	assert.Equal(t, len(back), 0, "records return to their sender")
	forth, _ := other.Since(0, "third", streams, all, start.Add(time.Second))
	assert.Equal(t, len(forth), streams)
	assert.Equal(t, forth[0].Age, time.Second)
}

// Guards against a directory that grows without limit, and against a stream that is forgotten while it lasts.
func TestStreamsExpireAfterTheirLastEvent(t *testing.T) {
	d := NewDirectory()
	d.Add(record(0), "", start)
	d.Add(record(1), "", start)
	later := start.Add(Lifetime - time.Second)
	assert.Assert(t, !d.Add(record(1), "", later))
	end := start.Add(Lifetime)
	_, ok := d.Find("stream0", end)
	assert.Assert(t, !ok)
	r, ok := d.Find("stream1", end)
	assert.Assert(t, ok)
	assert.Equal(t, r.Version, "v1")
	d.Expire(end)
	assert.Equal(t, d.Len(), 1)
	for n := range 2 * capacity {
		d.Add(record(n), "", end)
	}
	assert.Equal(t, d.Len(), capacity)
}

package loadshare

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/customerlimit"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/outlier"
)

// oldReport and oldTotals are the messages of builds without limits, as far as this test needs them.
type oldReport struct {
	Node  string
	Loads map[string]dispatch.Load
}
type oldTotals struct {
	Silent []string
	Sweeps bool
}

func recode(t *testing.T, from, to any) {
	t.Helper()
	var b bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&b).Encode(from))
	assert.NilError(t, gob.NewDecoder(&b).Decode(to))
}

// testCustomers is a Customers that has a limit of 10 requests per second for each customer.
type testCustomers struct{ hub *customerlimit.Hub }

func newTestCustomers() testCustomers {
	return testCustomers{customerlimit.NewHub(5*time.Second, func(string) customerlimit.Limit { return customerlimit.Limit{Rate: 10, Burst: 10} })}
}

func (c testCustomers) Report(string) (*customerlimit.Report, customerlimit.Sent) {
	return nil, customerlimit.Sent{}
}
func (c testCustomers) Answered(customerlimit.Sent, *customerlimit.Answer) {}
func (c testCustomers) HandleReport(node string, incarnation int64, r *customerlimit.Report) *customerlimit.Answer {
	return c.hub.Answer(time.Unix(100, 0), node, incarnation, 1, r)
}

// Guards against messages about customers that builds without them can't read, that are lost between builds that have them,
// or that are sent to builds without them.
func TestCustomersInMessagesOfBothBuilds(t *testing.T) {
	h := newHub(&Options{
		Fleet: testFleet("hub", "a"), Grants: grantOneSlot, Revisions: func() map[string]int64 { return nil }, Customers: newTestCustomers(),
		AddEvidence: func(map[string]outlier.Evidence) {}, Outliers: func() map[string]float64 { return nil },
	})
	receiver := &Receiver{&h}
	report := Report{Node: "a", Incarnation: 1, Customers: &customerlimit.Report{Seq: 1, Whole: true, Uses: []customerlimit.Use{
		{Customer: "c", Accepted: 100, Waiting: 1, Recent: []int64{100}},
	}}}
	var received Report
	recode(t, report, &received)
	var totals, answered Totals
	assert.NilError(t, receiver.Report(received, &totals))
	recode(t, totals, &answered)
	assert.Assert(t, answered.Customers != nil && answered.Customers.Limits)
	assert.DeepEqual(t, answered.Customers.Constrained, []string{"c"})
	assert.Equal(t, len(answered.Customers.Grants), 1)
	assert.Assert(t, answered.Customers.Grants[0].RetryAfter > 5*time.Second, "%v", answered.Customers.Grants[0])

	var old oldReport
	recode(t, report, &old)
	assert.Equal(t, old.Node, "a")
	var fromOld Report
	recode(t, old, &fromOld)
	assert.Assert(t, fromOld.Customers == nil)
	totals = Totals{}
	assert.NilError(t, receiver.Report(fromOld, &totals))
	assert.Assert(t, totals.Customers == nil)
	var oldAnswer oldTotals
	recode(t, Totals{Sweeps: true, Customers: answered.Customers}, &oldAnswer)
	assert.Assert(t, oldAnswer.Sweeps)
	var fromOldHub Totals
	recode(t, oldAnswer, &fromOldHub)
	assert.Assert(t, fromOldHub.Customers == nil)
}

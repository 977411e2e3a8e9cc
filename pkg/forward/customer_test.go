package forward

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/controller/customers"
	"trefoilplank.example/pkg/decision/routing"
)

const testKey, testCustomer = "north-key", "north"

// fakeLimiter allows a number of requests, and counts what it is asked.
type fakeLimiter struct {
	mu                     sync.Mutex
	left, taken, returned  int
	retryAfter             time.Duration
	lastCustomer, returner string
}

func (l *fakeLimiter) Take(_ context.Context, c *routing.Customer) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCustomer = c.Name
	if l.left == 0 {
		return l.retryAfter, false
	}
	l.left--
	l.taken++
	return 0, true
}

func (l *fakeLimiter) Return(c *routing.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returner = c.Name
	l.left++
	l.returned++
}

// counts returns how often a request was taken and returned. A request is returned after its answer was sent, so counts first waits until
// this number has been returned or a while has passed.
func (l *fakeLimiter) counts(returned int) (taken, gotBack int) {
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		taken, gotBack = l.taken, l.returned
		l.mu.Unlock()
		if gotBack >= returned || time.Now().After(end) {
			return taken, gotBack
		}
	}
}

// customerTable is a table that the test replaces.
type customerTable struct {
	mu    sync.Mutex
	table *routing.Table
}

func (c *customerTable) get() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// set puts a list of customers in force.
func (c *customerTable) set(list ...routing.Customer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = routing.NewTable(routing.Configuration{Customers: list, Routes: []routing.Route{
		route("/stream/", routing.KindStream, true, 3), route("/idempotent/", routing.KindIdempotent, false, 3),
		route("/unsafe/", routing.KindNonIdempotent, false, 3), publicRoute(),
	}})
}

func publicRoute() routing.Route {
	r := route("/open/", routing.KindIdempotent, false, 3)
	r.Public = true
	return r
}

func north() routing.Customer {
	return routing.Customer{Name: testCustomer, Keys: []routing.Digest{routing.KeyDigest(testKey)}}
}

func withKey(key string) map[string]string {
	return map[string]string{customers.AuthorizationHeader: "Bearer " + key}
}

// useCustomers makes a fixture check keys and ask a limiter.
func useCustomers(f *fixture, limiter Limiter) *customerTable {
	table := &customerTable{}
	table.set(north())
	o := &f.forwarder.options
	o.Table, o.Limiter, o.CustomerMetrics = table.get, limiter, customers.NewMetrics(f.metrics)
	o.Customers = customers.New(customers.Options{Table: table.get, KeysAge: func() time.Duration { return 0 }})
	return table
}

// refuses refuses each request without having run it.
func refuses(_ *fixture, w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testHeaders.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// failsAlways answers that the request failed.
func failsAlways(_ *fixture, w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}

// breaksAlways breaks each connection off.
func breaksAlways(_ *fixture, _ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

func answersAll(_ *fixture, w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }

// Guards against a request over its customer's limit that is sent, or answered so that its caller can't tell when it can pass.
func TestRequestOverTheLimitIsRefused(t *testing.T) {
	for _, target := range []string{"/idempotent/a", "/unsafe/a", "/stream/a"} {
		f := newFixture(t, answersAll)
		limiter := &fakeLimiter{left: 1, retryAfter: 1250 * time.Millisecond}
		useCustomers(f, limiter)
		resp, _, err := f.callWith(t, target, "b", withKey(testKey))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		resp, _, err = f.callWith(t, target, "b", withKey(testKey))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1.250")
		assert.Equal(t, len(f.requests()), 1)
		assert.Equal(t, limiter.lastCustomer, testCustomer)
		taken, returned := limiter.counts(0)
		assert.Equal(t, taken, 1)
		assert.Equal(t, returned, 0)
		assert.Equal(t, customerCount(f, "over_limit"), uint64(1))
	}
}

// customerCount returns how many requests of the customer had an outcome.
func customerCount(f *fixture, outcome string) uint64 {
	return f.metrics.GetOrCreateCounter(`trefoilplank_customer_requests_total{customer="north",outcome="` + outcome + `"}`).Get()
}

// Guards against a limit that counts requests which did not run, so that a customer gets less than its limit while upstreams are full, and
// against one that does not count requests which ran or may have run.
func TestOnlyRequestsThatDidNotRunAreReturnedToTheLimit(t *testing.T) {
	for name, c := range map[string]struct {
		target   string
		behaves  behaviour
		prepare  func(f *fixture, table *customerTable)
		status   int
		returned int
	}{
		"ran":                        {target: "/idempotent/a", behaves: answersAll, status: 200},
		"stream ran":                 {target: "/stream/a", behaves: streamsAll, status: 200},
		"failed":                     {target: "/unsafe/a", behaves: failsAlways, status: 500},
		"may have run":               {target: "/unsafe/a", behaves: breaksAlways, status: 502},
		"refused by all upstreams":   {target: "/idempotent/a", behaves: refuses, status: 503, returned: 1},
		"refused once that may once": {target: "/unsafe/a", behaves: refuses, status: 503, returned: 1},
		"no upstream":                {target: "/idempotent/a", prepare: func(f *fixture, _ *customerTable) { f.placer.SetUpstreams(nil) }, status: 503, returned: 1},
		"upstream gone":              {target: "/idempotent/a", prepare: func(f *fixture, _ *customerTable) { f.upstreams["u0"].Close() }, status: 503, returned: 1},
	} {
		t.Run(name, func(t *testing.T) {
			behaves := c.behaves
			if behaves == nil {
				behaves = answersAll
			}
			f := newFixture(t, behaves)
			limiter := &fakeLimiter{left: 1, retryAfter: time.Second}
			table := useCustomers(f, limiter)
			if c.prepare != nil {
				c.prepare(f, table)
			}
			resp, _, err := f.callWith(t, c.target, "b", withKey(testKey))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			taken, returned := limiter.counts(max(1, c.returned))
			assert.Equal(t, taken, 1)
			assert.Equal(t, returned, c.returned)
			if c.returned > 0 {
				assert.Equal(t, limiter.returner, testCustomer)
				assert.Equal(t, customerCount(f, "no_room"), uint64(1))
			}
		})
	}
}

// Guards against limits that requests without a customer, or refused because of their key, take from.
func TestRequestsWithoutCustomerTakeNoLimit(t *testing.T) {
	f := newFixture(t, answersAll)
	limiter := &fakeLimiter{}
	table := useCustomers(f, limiter)
	for target, status := range map[string]int{"/open/a": 200, "/idempotent/a": 401} {
		resp, _, err := f.call(t, target, "b")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, status)
	}
	table.set()
	resp, _, err := f.callWith(t, "/idempotent/a", "b", withKey(testKey))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, limiter.lastCustomer, "")
}

// Guards against a request that is sent after its key was removed while it waited, and against an answer other than 401, which tells the
// caller that nothing ran and that a repetition is useless. The request is held between its last check on arrival and its first byte.
func TestRequestWhoseKeyIsRemovedWhileItWaitsIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		after            []routing.Customer
		behaves          behaviour
		target           string
		status, received int
		returned         int
	}{
		"removed":                      {after: []routing.Customer{{Name: testCustomer}}, behaves: answersAll, target: "/unsafe/a", status: 401, returned: 1},
		"removed, stream":              {after: []routing.Customer{{Name: testCustomer}}, behaves: streamsAll, target: "/stream/a", status: 401, returned: 1},
		"customer removed":             {after: []routing.Customer{{Name: "south"}}, behaves: answersAll, target: "/idempotent/a", status: 401, returned: 1},
		"key of another customer":      {after: []routing.Customer{{Name: "south", Keys: north().Keys}}, behaves: answersAll, target: "/idempotent/a", status: 503, returned: 1},
		"customers no longer required": {behaves: answersAll, target: "/idempotent/a", status: 200, received: 1},
		"key stays":                    {after: []routing.Customer{north()}, behaves: answersAll, target: "/idempotent/a", status: 200, received: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.behaves)
			limiter := &fakeLimiter{left: 1}
			table := useCustomers(f, limiter)
			f.forwarder.options.AwaitUpstreams = func(context.Context) { table.set(c.after...) }
			resp, _, err := f.callWith(t, c.target, "b", withKey(testKey))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, len(f.requests()), c.received)
			assert.Equal(t, resp.Header.Get("WWW-Authenticate") != "", c.status == 401)
			assert.Equal(t, resp.Header.Get("Retry-After") != "", c.status == 503)
			_, returned := limiter.counts(max(1, c.returned))
			assert.Equal(t, returned, c.returned)
			assert.Equal(t, customerCount(f, "key_removed"), uint64(c.returned))
		})
	}
}

// Guards against a 401 for a request that may have run before its key was removed: it would claim that nothing ran.
func TestRequestThatMayHaveRunGetsNo401(t *testing.T) {
	var table *customerTable
	f := newFixture(t, func(*fixture, http.ResponseWriter, *http.Request) {
		table.set(routing.Customer{Name: testCustomer})
		panic(http.ErrAbortHandler)
	}, answersAll)
	limiter := &fakeLimiter{left: 1}
	table = useCustomers(f, limiter)
	f.placer.SetUpstreams(f.list[:1])
	f.forwarder.options.AwaitUpstreams = func(context.Context) {
		if len(f.requests()) > 0 {
			f.placer.SetUpstreams(f.list)
		}
	}
	resp, _, err := f.callWith(t, "/idempotent/a", "b", withKey(testKey))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, len(f.requests()), 1)
	_, returned := limiter.counts(0)
	assert.Equal(t, returned, 0)
}

// Guards against a stream that goes on for another customer than the one that began it, and against one that does not go on for its own
// customer or whose customer is not known.
func TestStreamIsResumedOnlyForItsCustomer(t *testing.T) {
	f := newFixture(t, streamsAll)
	table := useCustomers(f, nil)
	table.set(north(), routing.Customer{Name: "south", Keys: []routing.Digest{routing.KeyDigest("south-key")}})
	resp, _, err := f.callWith(t, "/stream/a", "b", withKey(testKey)) // Its ID is r1.
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	f.streams.Began("unknown customer", "s", "", "")
	for _, c := range []struct {
		stream, key string
		status      int
	}{{"r1", testKey, 200}, {"r1", "south-key", 503}, {"r1", testKey, 200}, {"unknown customer", "south-key", 200}, {"unknown customer", testKey, 200}} {
		h := withKey(c.key)
		h[testHeaders.Resumes], h[testHeaders.LastEventID] = c.stream, "3"
		before := len(f.requests())
		resp, _, err := f.callWith(t, "/stream/a", "b", h)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status, "%+v", c)
		assert.Equal(t, len(f.requests())-before == 1, c.status == 200, "%+v", c)
	}
}

package customers

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"trefoilplank.example/pkg/decision/routing"
)

// newTestChecker returns a checker with a table of one customer, which the returned function replaces, and the age of its configuration.
func newTestChecker(strict bool) (c *Checker, set func(customers ...routing.Customer), age *time.Duration) {
	table, age := &routing.Table{}, new(time.Duration)
	set = func(customers ...routing.Customer) {
		table = routing.NewTable(routing.Configuration{Customers: customers})
	}
	set(customer("north", "key"))
	return New(Options{
		Table: func() *routing.Table { return table }, KeysAge: func() time.Duration { return *age }, Strict: strict, Revocation: 5 * time.Second,
	}), set, age
}

func customer(name string, keys ...string) routing.Customer {
	c := routing.Customer{Name: name}
	for _, key := range keys {
		c.Keys = append(c.Keys, routing.KeyDigest(key))
	}
	return c
}

func bearer(key string) http.Header { return http.Header{AuthorizationHeader: {"Bearer " + key}} }

// Guards against a 401 for a key that was perhaps added since the configuration was confirmed, and against keys that are accepted later than
// removed ones may be.
func TestAgeOfTheConfigurationDecides(t *testing.T) {
	for _, c := range []struct {
		strict, public bool
		age            time.Duration
		key            string
		status         int
		name           string
	}{
		{age: confirmedWithin, key: "key", name: "north"}, {age: time.Hour, key: "key", name: "north"},
		{age: confirmedWithin, key: "other", status: 401}, {age: confirmedWithin + 1, key: "other", status: 503}, {age: time.Hour, key: "", status: 401},
		{strict: true, age: 4750 * time.Millisecond, key: "key", name: "north"}, {strict: true, age: 4750*time.Millisecond + 1, key: "key", status: 503},
		{strict: true, age: 5 * time.Second, key: "other", status: 503}, {strict: true, age: 5 * time.Second, key: "", status: 503},
		{strict: true, public: true, age: 5 * time.Second, key: "key"}, {strict: true, public: true, age: confirmedWithin, key: "key", name: "north"},
		{public: true, age: 5 * time.Second, key: "other"},
	} {
		checker, _, age := newTestChecker(c.strict)
		*age = c.age
		caller, refusal := checker.Identify(bearer(c.key), c.public)
		assert.Check(t, refusal.Status == c.status && caller.Name() == c.name, "%+v: %+v, customer %q", c, refusal, caller.Name())
		assert.Check(t, (refusal.Status == 503) == (refusal.RetryAfter > 0), "%+v: %+v", c, refusal)
		assert.Check(t, c.status != 0 || caller.Checked, "%+v: headers pass", c)
	}
}

// Guards against a 401 from a node that knows no configuration, and against keys that are required without customers.
func TestConfigurationsWithoutCustomersAndNone(t *testing.T) {
	var none *Checker
	_, refusal := none.Identify(http.Header{}, false)
	assert.Equal(t, refusal, Refusal{})
	checker, set, age := newTestChecker(true)
	*age = time.Hour
	set()
	caller, refusal := checker.Identify(bearer("x"), false)
	assert.Equal(t, refusal, Refusal{})
	assert.Equal(t, caller, Caller{})
	checker.options.Table = func() *routing.Table { return nil }
	_, refusal = checker.Identify(bearer("key"), false)
	assert.Equal(t, refusal.Status, http.StatusServiceUnavailable)
}

// Guards against waiting requests that are sent with a removed key, and against ones that are refused although their customer keeps the key.
func TestWaitingRequestNeedsItsKey(t *testing.T) {
	checker, set, _ := newTestChecker(false)
	caller, _ := checker.Identify(bearer("key"), false)
	for _, c := range []struct {
		customers []routing.Customer
		status    int
	}{
		{[]routing.Customer{customer("north", "other", "key")}, 0}, {[]routing.Customer{customer("north", "other")}, 401},
		{[]routing.Customer{customer("south", "key")}, 503}, {nil, 0},
	} {
		set(c.customers...)
		assert.Equal(t, checker.StillHolds(caller).Status, c.status)
	}
	set(customer("south", "key"))
	assert.Equal(t, checker.StillHolds(Caller{}).Status, 0)
}

// Guards against one series of metrics for each of many customers, and against names that make the text of the metrics invalid.
func TestCustomersHaveABoundedNumberOfSeries(t *testing.T) {
	set := metrics.NewSet()
	m := NewMetrics(set)
	for n := range 3 * maxLabels {
		m.CountRequest(fmt.Sprintf("na\"me\\ }\n%d", n), "delivered")
		m.CountRequest("", "delivered")
	}
	var text strings.Builder
	set.WritePrometheus(&text)
	assert.Equal(t, strings.Count(text.String(), "\n"), maxLabels+1)
	assert.Assert(t, strings.Contains(text.String(), fmt.Sprintf(`{customer="other",outcome="delivered"} %d`, 2*maxLabels)), text.String())
}

// FuzzParseKey guards against crashes of the parser, and against keys that hold separators.
func FuzzParseKey(f *testing.F) {
	for _, value := range []string{"Bearer key", "bearer  key ", "Bearer", "Bearer a,b", "Bearer a b", "Basic x", "\tBEARER\tkey\t", "Bearer \x00", "Bearerkey", ""} {
		f.Add(value)
	}
	f.Fuzz(func(t *testing.T, value string) {
		key, ok := ParseKey(http.Header{AuthorizationHeader: {value}})
		if ok && (key == "" || strings.ContainsAny(key, " \t\r\n,\x00") || !strings.HasSuffix(strings.TrimRight(value, " \t"), key)) {
			t.Errorf("%q is the key of %q", key, value)
		}
		if !ok && key != "" {
			t.Errorf("key %q of malformed %q", key, value)
		}
		if _, ok := ParseKey(http.Header{AuthorizationHeader: {value, value}}); ok {
			t.Errorf("repeated header %q has a key", value)
		}
		if again, ok := ParseKey(bearer(key)); key != "" && (!ok || again != key) {
			t.Errorf("key %q is read as %q", key, again)
		}
	})
}

package routing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newTestTable(prefixes ...string) *Table {
	var c Configuration
	for _, p := range prefixes {
		c.Routes = append(c.Routes, Route{Name: p, Host: "h", Prefix: p, Service: "s"})
	}
	return NewTable(c)
}

// Guards against choosing a route with a shorter prefix than another match, or a route of another host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := newTestTable("/", "/a/", "/a/b/")
	for path, want := range map[string]string{"/x": "/", "/a/x": "/a/", "/a/b/": "/a/b/", "/a/b": "/a/", "/a%2fb/": "/"} {
		assert.Equal(t, table.Match("h:80", path).Name, want, path)
	}
	assert.Assert(t, table.Match("other", "/a/") == nil)
	assert.Assert(t, newTestTable("/a/").Match("h", "/b") == nil)
}

// Guards against a result that depends on the order of the routes.
func TestMatchIgnoresRouteOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfDistinct(rapid.SampledFrom([]string{"/", "/a/", "/a/a/", "/b/", "/a/b/", "/a/a/a/"}), rapid.ID).Draw(t, "prefixes")
		path := "/" + strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"a", "b", "c"})).Draw(t, "parts"), "/")
		best := ""
		for _, p := range prefixes {
			if strings.HasPrefix(path, p) && len(p) > len(best) {
				best = p
			}
		}
		got := newTestTable(prefixes...).Match("h", path)
		if (got == nil) != (best == "") || got != nil && got.Name != best {
			t.Fatalf("%v for %q among %q, want %q", got, path, prefixes, best)
		}
	})
}

// Guards against a split that omits a service or ignores the weights.
func TestSplitFollowsWeights(t *testing.T) {
	r := Route{Service: "none", Split: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := map[string]int{}
	for n := range 1000 {
		counts[r.Pick(float64(n)/1000)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, (&Route{Service: "x"}).Pick(0.5), "x")
	assert.Equal(t, (&Route{Service: "x", Split: []WeightedService{{"a", 0}}}).Pick(0.5), "x")
}

// A key that two customers hold must not make a caller's identity depend on the order of a map.
func TestFirstCustomerWithKeyHasIt(t *testing.T) {
	shared, own := KeyDigest("shared"), KeyDigest("own")
	table := NewTable(Configuration{Customers: []Customer{{Name: "a", Keys: []Digest{shared}}, {Name: "b", Keys: []Digest{shared, own}}}})
	assert.Equal(t, table.CustomerByKey(shared).Name, "a")
	assert.Equal(t, table.CustomerByKey(own).Name, "b")
	assert.Assert(t, table.CustomerByKey(KeyDigest("other")) == nil)
	assert.Equal(t, table.SharedKeys, 1)
	assert.Assert(t, !NewTable(Configuration{}).HasCustomers())
}

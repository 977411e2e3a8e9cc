package admission

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/blackboard"
)

// Guards against an index that misses or adds a candidate, names a wrong owner, or stays in use after the
// configuration or the members changed: it is compared with a scan of the register after each such change.
func TestRegisterIndexEqualsScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := blackboard.New()
		c, err := New(Options{Self: "n0", Board: b})
		assert.NilError(t, err)
		names := []string{"", "x", "y", "z"}
		for range 3 {
			var ups []api.Upstream
			for i := range rapid.IntRange(0, 12).Draw(t, "upstreams") {
				u := api.Upstream{Name: fmt.Sprint("u", i), Kind: api.UpstreamEngine, Service: rapid.SampledFrom(names).Draw(t, "service")}
				if rapid.Bool().Draw(t, "is service") {
					u.Kind = api.UpstreamService
				}
				u.Models = rapid.SliceOfN(rapid.SampledFrom(names), 0, 3).Draw(t, "models")
				ups = append(ups, u)
			}
			b.Config.Set(api.Config{Register: api.Register{Upstreams: ups}})
			live := map[string]blackboard.Member{}
			for i := range rapid.IntRange(1, 4).Draw(t, "nodes") {
				live[fmt.Sprint("n", i)] = blackboard.Member{Draining: rapid.Bool().Draw(t, "draining")}
			}
			b.Members.Set(blackboard.Members{Self: "n0", Live: live})
			index := c.registerIndex()
			for _, model := range names {
				for _, service := range names {
					want := []int{}
					for i, u := range ups {
						if u.Serves(model, service) {
							want = append(want, i)
						}
					}
					assert.DeepEqual(t, append([]int{}, index.serving(model, service)...), want)
				}
			}
			owned := 0
			for i, u := range ups {
				assert.Equal(t, index.owner[i], c.owner(u.Name))
				found, ok := c.findUpstream(u.Name)
				assert.Assert(t, ok && found.Name == u.Name)
			}
			for _, names := range index.byOwner {
				owned += len(names)
			}
			assert.Equal(t, owned, len(ups))
		}
	})
}

package engine

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/controller/reconcile"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/decision/placement"
	"trefoilplank.example/pkg/gateway/prompt"
)

// Guards against nodes that decode the state or the cache events of an engine in another form than engines send. The
// block hashes of the events must be those that nodes compute for the same prompt.
func TestNodesReadStateAndCacheEvents(t *testing.T) {
	_, url := startEngine(t, Options{Adapters: []string{"a"}}, "")
	u := api.Upstream{Name: "e", Address: strings.TrimPrefix(url, "http://")}
	prober := &upstreams.HTTPProber{}
	state, err := prober.State(t.Context(), u)
	assert.NilError(t, err)
	assert.DeepEqual(t, state.Models, []string{"m", "a"})
	engineState, err := reconcile.NewHTTPEngines().State(t.Context(), u)
	assert.NilError(t, err)
	assert.DeepEqual(t, engineState.Models, map[string]string{"m": "v1"})

	body := promptBody(strings.Repeat("long shared prefix ", 40), "")
	r, err := postWithID(t.Context(), url+"/v1/completions", "r0", body)
	assert.Assert(t, completionText(t, readAll(t, r, err)) != "")
	parsed, err := prompt.Parse([]byte(body), false)
	assert.NilError(t, err)
	events, err := prober.CacheEvents(t.Context(), u, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events.Events), 1)
	assert.Equal(t, events.Events[0].Kind, placement.CacheStored)
	assert.DeepEqual(t, events.Events[0].Hashes, parsed.PrefixHashes("m", ""))
	assert.Equal(t, events.Next, int64(1))
}

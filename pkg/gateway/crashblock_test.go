package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/gateway/peertest"
)

// Guards against prompts that share a block of text which crashes upstreams, no two alike, and are each run as a new request,
// and against sound prompts with the same beginning that are refused for it. Five crashes are what the users' rules allow
// before a block must be known.
func TestBlockThatCrashesUpstreamsIsContained(t *testing.T) {
	const maxCrashes = 5
	block := func(name string) string {
		var b strings.Builder
		for n := range 24 {
			fmt.Fprintf(&b, "%s term %d of the contract; ", name, n*n)
		}
		return b.String()
	}
	for name, culprit := range map[string]string{"a long block": block("poison"), "a line": "\nIgnore poison and answer in capitals.\n"} {
		t.Run(name, func(t *testing.T) {
			crashes := 0
			var mu sync.Mutex
			var upstreams []*fakeUpstream
			for i := range 24 {
				e := newUpstream(t, fmt.Sprint("e", i), api.UpstreamEngine)
				e.fault = func(f *fakeUpstream, _ http.ResponseWriter, _ *http.Request, body []byte) bool {
					if !bytes.Contains(body, []byte("poison")) {
						return false
					}
					mu.Lock()
					crashes++
					mu.Unlock()
					f.crash()
					return true
				}
				upstreams = append(upstreams, e)
			}
			nodes := startNodes(t, peertest.New(), 3, nil, upstreams...)
			beginning, sound := block("beginning"), 0
			for i := range 20 {
				n := nodes[i%len(nodes)]
				r := n.chat(beginning + culprit + fmt.Sprintf("Letter %x of %x.", i*7919, i*104729))
				assert.Check(t, r.status != 200)
				if n.chat(beginning+fmt.Sprintf("Other letter %x of %x.", i*7919, i*104729)).status == 200 {
					sound++
				}
			}
			assert.Assert(t, crashes > 0 && crashes <= maxCrashes, "%d crashes", crashes)
			assert.Equal(t, sound, 20)
		})
	}
}

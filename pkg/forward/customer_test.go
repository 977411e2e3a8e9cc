package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a customer's requests that are quarantined because of another customer's part of a prompt, which has the same ID and other
// content, and against equal requests of two customers that crash as many upstreams as if they were different.
func TestPartsOfPromptsBelongToCustomers(t *testing.T) {
	names := testHeaders
	names.PromptParts = "X-Parts"
	c := &Client{headers: names}
	request := func(customer string) *Request {
		return &Request{Host: testHost, Target: "/x", Header: http.Header{names.PromptParts: {"part:10,own:3"}}, Body: []byte("prompt"), Customer: customer}
	}
	north, south, none := c.Works(request("north"), "s"), c.Works(request("south"), "s"), c.Works(request(""), "s")
	assert.Assert(t, len(north.Parts) == 1 && len(south.Parts) == 1 && len(none.Parts) == 1)
	assert.Assert(t, north.Parts[0] != south.Parts[0] && north.Parts[0] != none.Parts[0])
	assert.Assert(t, north.Request == south.Request && north.Request == none.Request)
	assert.DeepEqual(t, north, c.Works(request("north"), "s"))
}

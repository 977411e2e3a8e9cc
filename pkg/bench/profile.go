// Package bench sends an open-loop load to any address that serves the callers' API and compares targets. Latency counts
// from the intended start of a call, so that a slow server can't hide its delay by slowing the load down.
package bench

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("bench")

// Kind is the kind of one call.
type Kind string

// Kinds of call: a chat completion in one answer, a streamed one, and a GET of a record from a plain service.
const (
	KindChat   Kind = "chat"
	KindStream Kind = "stream"
	KindLookup Kind = "lookup"
)

// CallSpec describes one kind of call in the mix of a profile.
type CallSpec struct {
	Kind Kind
	// Weight is the frequency of the kind relative to the weights of the others.
	Weight float64
	// PromptTokens and MaxTokens are the lengths of prompt and answer; a token counts as four characters.
	PromptTokens, MaxTokens int
	// Objective is the latency within which a call counts as good: of the first token of a stream, or else of the complete
	// answer.
	Objective time.Duration
}

// Profile describes a workload.
type Profile struct {
	Name    string
	Model   string
	Service string
	Mix     []CallSpec
	// Prefixes is the number of prompt prefixes that calls share, and PrefixTokens is the length of each.
	Prefixes, PrefixTokens int
	// BurstFactor multiplies the arrival rate during the last BurstLength of every BurstEvery; 1 means no bursts.
	BurstFactor             float64
	BurstEvery, BurstLength time.Duration
}

// profiles are short versions of the workloads of the first two deployments, and one of lookups only.
var profiles = map[string]Profile{
	"board": {
		Name: "board", Model: "reference-summary", Service: "status",
		Mix: []CallSpec{
			{Kind: KindStream, Weight: 5, PromptTokens: 300, MaxTokens: 32, Objective: 1600 * time.Millisecond},
			{Kind: KindChat, Weight: 1, PromptTokens: 300, MaxTokens: 32, Objective: 4 * time.Second},
			{Kind: KindLookup, Weight: 4, Objective: 200 * time.Millisecond},
		},
		Prefixes: 12, PrefixTokens: 160, BurstFactor: 3, BurstEvery: 4 * time.Second, BurstLength: 500 * time.Millisecond,
	},
	"agencia": {
		Name: "agencia", Model: "rights-tagger", Service: "portal",
		Mix: []CallSpec{
			{Kind: KindChat, Weight: 3, PromptTokens: 200, MaxTokens: 24, Objective: 4 * time.Second},
			{Kind: KindStream, Weight: 3, PromptTokens: 200, MaxTokens: 24, Objective: 1600 * time.Millisecond},
			{Kind: KindLookup, Weight: 4, Objective: 500 * time.Millisecond},
		},
		Prefixes: 30, PrefixTokens: 120, BurstFactor: 2, BurstEvery: 5 * time.Second, BurstLength: time.Second,
	},
	"lookup": {
		Name: "lookup", Service: "status", BurstFactor: 1,
		Mix: []CallSpec{{Kind: KindLookup, Weight: 1, Objective: 200 * time.Millisecond}},
	},
}

// ProfileByName returns a built-in profile.
func ProfileByName(name string) (Profile, error) {
	p, ok := profiles[name]
	if !ok {
		return Profile{}, Error.New("profile %q is not one of %s", name, strings.Join(ProfileNames(), ", "))
	}
	return p, nil
}

// ProfileNames returns the sorted names of the built-in profiles.
func ProfileNames() []string {
	var names []string
	for n := range profiles {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// fillerText returns text of about the given number of tokens that starts with tag.
func fillerText(tag string, tokens int) string {
	const word = "statement "
	b := strings.Builder{}
	b.WriteString(tag)
	for b.Len() < tokens*4 {
		b.WriteString(word)
	}
	return b.String()
}

// prompt returns the prompt of one call: a shared prefix followed by text that only this call has.
func (p Profile) prompt(s CallSpec, prefix int, unique uint64) string {
	shared := ""
	if p.Prefixes > 0 {
		shared = fillerText(fmt.Sprintf("[prefix %d] ", prefix%p.Prefixes), p.PrefixTokens)
	}
	return shared + fillerText(fmt.Sprintf(" [call %x] ", unique), s.PromptTokens-p.PrefixTokens)
}

// Package bench is an open-loop load and experiment tool for any address that speaks the caller interface. Latency
// counts from the intended start of a call, so that a slow server can't hide its delay by slowing the load down.
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

// Kinds of call.
const (
	KindChat   Kind = "chat"
	KindStream Kind = "stream"
	KindLookup Kind = "lookup"
)

// Share is one part of the request mix.
type Share struct {
	Kind Kind
	// Weight is the kind's part of all calls, relative to the others.
	Weight float64
	// PromptTokens and MaxTokens are the sizes of a call; about four characters make a token.
	PromptTokens, MaxTokens int
	// Objective is the latency within which a call counts as good: the first token of a stream, the whole answer otherwise.
	Objective time.Duration
}

// Profile describes a workload.
type Profile struct {
	Name    string
	Model   string
	Service string
	Mix     []Share
	// Prefixes is the number of different shared prompt prefixes; PrefixTokens is the length of each.
	Prefixes, PrefixTokens int
	// BurstFactor multiplies the arrival rate during bursts of BurstLength that start every BurstEvery; 1 means no bursts.
	BurstFactor             float64
	BurstEvery, BurstLength time.Duration
}

// profiles are the short profiles of the first two deployments.
var profiles = map[string]Profile{
	"board": {
		Name: "board", Model: "reference-summary", Service: "status",
		Mix: []Share{
			{Kind: KindStream, Weight: 5, PromptTokens: 300, MaxTokens: 32, Objective: 1600 * time.Millisecond},
			{Kind: KindChat, Weight: 1, PromptTokens: 300, MaxTokens: 32, Objective: 4 * time.Second},
			{Kind: KindLookup, Weight: 4, Objective: 200 * time.Millisecond},
		},
		Prefixes: 12, PrefixTokens: 160, BurstFactor: 3, BurstEvery: 4 * time.Second, BurstLength: 500 * time.Millisecond,
	},
	"agencia": {
		Name: "agencia", Model: "rights-tagger", Service: "portal",
		Mix: []Share{
			{Kind: KindChat, Weight: 3, PromptTokens: 200, MaxTokens: 24, Objective: 4 * time.Second},
			{Kind: KindStream, Weight: 3, PromptTokens: 200, MaxTokens: 24, Objective: 1600 * time.Millisecond},
			{Kind: KindLookup, Weight: 4, Objective: 500 * time.Millisecond},
		},
		Prefixes: 30, PrefixTokens: 120, BurstFactor: 2, BurstEvery: 5 * time.Second, BurstLength: time.Second,
	},
	"lookup": {
		Name: "lookup", Service: "status", BurstFactor: 1,
		Mix: []Share{{Kind: KindLookup, Weight: 1, Objective: 200 * time.Millisecond}},
	},
}

// ProfileByName returns a shipped profile.
func ProfileByName(name string) (Profile, error) {
	p, ok := profiles[name]
	if !ok {
		return Profile{}, Error.New("profile %q is not one of %s", name, strings.Join(ProfileNames(), ", "))
	}
	return p, nil
}

// ProfileNames returns the names of the shipped profiles in order.
func ProfileNames() []string {
	var names []string
	for n := range profiles {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// text returns about tokens tokens of text that start with tag.
func text(tag string, tokens int) string {
	const word = "statement "
	b := strings.Builder{}
	b.WriteString(tag)
	for b.Len() < tokens*4 {
		b.WriteString(word)
	}
	return b.String()
}

// prompt returns the prompt of one call: a shared prefix and a tail of its own.
func (p Profile) prompt(s Share, prefix int, unique uint64) string {
	shared := ""
	if p.Prefixes > 0 {
		shared = text(fmt.Sprintf("[prefix %d] ", prefix%p.Prefixes), p.PrefixTokens)
	}
	return shared + text(fmt.Sprintf(" [call %x] ", unique), s.PromptTokens-p.PrefixTokens)
}

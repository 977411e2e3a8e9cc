// Package status holds what the parts of a node report about the objects that operators know.
package status

import (
	"context"
	"time"
)

// Kind is the kind of a reported object.
type Kind string

// Kinds of objects.
const (
	KindInstitution Kind = "institution"
	KindModel       Kind = "model"
	KindUpstream    Kind = "upstream"
	KindJob         Kind = "job"
	KindNode        Kind = "node"
)

// Object is one institution, model, upstream or job as one part of one node sees it.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Part names the part that reports, such as "reconcile"; reports of several parts are joined.
	Part string `json:"-"`
	// Desired and Observed are short texts in the same terms, so that they can be compared by eye.
	Desired  string `json:"desired"`
	Observed string `json:"observed"`
	// LastChange is when Observed last changed, and Why the reason; zero when not known.
	LastChange time.Time `json:"last_change,omitzero"`
	Why        string    `json:"why,omitempty"`
	// Node is set by the collector.
	Node string `json:"node,omitempty"`
}

// Problem is a fault that operators should know of.
type Problem struct {
	Kind  Kind      `json:"kind,omitempty"`
	Name  string    `json:"name,omitempty"`
	Cause string    `json:"cause"`
	Since time.Time `json:"since,omitzero"`
	// System says what the system does about it, Operator what an operator can do.
	System   string `json:"system"`
	Operator string `json:"operator"`
	// Nodes are the nodes that report the problem; set by the collector.
	Nodes []string `json:"nodes,omitempty"`
}

// Report is what one part of a node knows. A part reports only objects that it is responsible for.
type Report struct {
	Objects  []Object
	Problems []Problem
}

// Provider is a part of a node that has a status. Status must return within ctx and may not block on the
// network; the admission, batch and reconcile controllers implement it.
type Provider interface {
	Status(ctx context.Context) Report
}

// Func makes a function a Provider.
type Func func(ctx context.Context) Report

// Status calls f.
func (f Func) Status(ctx context.Context) Report { return f(ctx) }

// Package status defines what the components of a node report to operators: the state of institutions, models,
// upstreams, jobs and nodes, and problems.
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

// Object is the state of one institution, model, upstream or job as seen by one component of one node.
type Object struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Part is the name of the reporting component, such as "reconcile"; reports of several components are joined.
	Part string `json:"-"`
	// Desired and Observed are short texts in the same terms, so that an operator can compare them.
	Desired  string `json:"desired"`
	Observed string `json:"observed"`
	// LastChange is when Observed last changed, and Why is the reason. Either is zero if it is not known.
	LastChange time.Time `json:"last_change,omitzero"`
	Why        string    `json:"why,omitempty"`
	// Node is the reporting node; it is set when the reports of all nodes are collected.
	Node string `json:"node,omitempty"`
}

// Problem is a fault that operators should know about.
type Problem struct {
	Kind  Kind      `json:"kind,omitempty"`
	Name  string    `json:"name,omitempty"`
	Cause string    `json:"cause"`
	Since time.Time `json:"since,omitzero"`
	// System says what the system does about the problem, Operator what an operator can do.
	System   string `json:"system"`
	Operator string `json:"operator"`
	// Nodes are the nodes that report the problem; they are set when the reports of all nodes are collected.
	Nodes []string `json:"nodes,omitempty"`
}

// Report is the status that one component of a node reports. A component reports only objects that it is responsible
// for.
type Report struct {
	Objects  []Object
	Problems []Problem
}

// Provider is a component of a node that reports status, such as the admission, batch and reconcile controllers.
// Status must return before ctx ends and must not wait for the network.
type Provider interface {
	Status(ctx context.Context) Report
}

// ProviderFunc adapts a function to Provider.
type ProviderFunc func(ctx context.Context) Report

// Status calls f.
func (f ProviderFunc) Status(ctx context.Context) Report { return f(ctx) }

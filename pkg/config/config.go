// Package config holds the interface through which operators' changes become the configuration in force.
package config

import (
	"context"
	"fmt"
	"time"

	"trefoilplank.example/api"
)

// Change is one change of the configuration. A nil document keeps the one in force.
type Change struct {
	Register *api.Register
	Rules    *api.Rules
	// IfMatch is the version that the change was made on, AnyVersion or NoVersion.
	IfMatch int64
	// Key identifies the change when it is sent again.
	Key string
	// Who names the operator, for the history.
	Who string
}

// Values of Change.IfMatch that are no versions.
const (
	// AnyVersion applies a change to whatever version is in force.
	AnyVersion = 0
	// NoVersion applies a change only while no version was ever accepted.
	NoVersion = -1
)

// Matches reports whether the change may be applied to a version; 0 is the empty configuration.
func (c Change) Matches(version int64) bool {
	return c.IfMatch == AnyVersion || max(c.IfMatch, 0) == version
}

// Record describes one accepted version.
type Record struct {
	Version int64     `json:"version"`
	Key     string    `json:"key,omitempty"`
	Who     string    `json:"who,omitempty"`
	When    time.Time `json:"when"`
}

// RaceError means that another change was accepted first.
type RaceError struct {
	// Current is the accepted version.
	Current int64
}

// Error names the current version.
func (e *RaceError) Error() string {
	return fmt.Sprintf("the configuration has moved on to version %d", e.Current)
}

// KeyReuseError means that the change's key was used for another change before.
type KeyReuseError struct {
	Key     string
	Version int64
}

// Error names the key and the version that it was accepted as.
func (e *KeyReuseError) Error() string {
	return fmt.Sprintf("key %q was used for the different change of version %d", e.Key, e.Version)
}

// Accepter makes changes durable.
type Accepter interface {
	// Apply returns the version under which the change is accepted; a resend with the same key returns the
	// first one. Errors: *RaceError, *KeyReuseError, api.Findings, or one that matches store.ErrUnavailable
	// (not accepted) or store.ErrUnknown (may have been accepted).
	Apply(ctx context.Context, c Change) (int64, error)
	// History returns the records of the versions kept, newest first.
	History(ctx context.Context) ([]Record, error)
	// Accepted returns the newest version that this node knows to be accepted.
	Accepted() int64
}

// Package config defines the interface through which changes by operators become the configuration in force.
package config

import (
	"context"
	"fmt"
	"time"

	"trefoilplank.example/api"
)

// Change is one change of the configuration. A nil Register or Rules keeps the one in force.
type Change struct {
	Register *api.Register
	Rules    *api.Rules
	// IfMatch is the version that the change is based on, AnyVersion or NoVersion.
	IfMatch int64
	// Key is the idempotency key by which a change that is sent again is recognised.
	Key string
	// Who is the name of the operator, for the history.
	Who string
}

// Values of Change.IfMatch that are not versions.
const (
	// AnyVersion applies a change to whatever version is in force.
	AnyVersion = 0
	// NoVersion applies a change only if no version was ever accepted.
	NoVersion = -1
)

// Matches reports whether IfMatch allows the change to be applied to a version; 0 is the empty configuration.
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

// RaceError means that a change was refused because its IfMatch is not the accepted version: another change was
// accepted first.
type RaceError struct {
	// Current is the accepted version.
	Current int64
}

// Error implements error.
func (e *RaceError) Error() string {
	return fmt.Sprintf("the configuration has moved on to version %d", e.Current)
}

// KeyReuseError means that a change was refused because an earlier, different change has the same key.
type KeyReuseError struct {
	Key string
	// Version is the version that the earlier change was accepted as.
	Version int64
}

// Error implements error.
func (e *KeyReuseError) Error() string {
	return fmt.Sprintf("key %q was used for the different change of version %d", e.Key, e.Version)
}

// Accepter checks changes and stores them as accepted versions.
type Accepter interface {
	// Apply returns the version as which the change was accepted; for a change that is sent again with the same key this
	// is the version of the first time. Errors: *RaceError, *KeyReuseError, api.Findings, or one that matches
	// store.ErrUnavailable (not accepted) or store.ErrUnknown (may have been accepted).
	Apply(ctx context.Context, c Change) (int64, error)
	// History returns the records of the versions that are still kept, newest first.
	History(ctx context.Context) ([]Record, error)
	// Accepted returns the newest version that this node knows to be accepted.
	Accepted() int64
}

package edge

import (
	"strings"

	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/controller/storecalls"
	"trefoilplank.example/pkg/decision/storepacing"
	"trefoilplank.example/pkg/listjob"
)

// storeUrgency returns how urgent the calls to the store are: the confirmation of the configuration, which removals of keys are part of, and
// registrations come first, and the writes of jobs next, since callers wait for them.
func storeUrgency(configPrefix string) func(storecalls.Call) storepacing.Urgency {
	config, member := strings.TrimSuffix(configPrefix, "/"), strings.TrimSuffix(fleet.Prefix, "/")
	return func(c storecalls.Call) storepacing.Urgency {
		switch {
		case c.Kind == config, c.Kind == member && c.Writes():
			return storepacing.Confirmation
		case c.Writes() && listjob.OwnsKind(c.Kind):
			return storepacing.Promise
		}
		return storepacing.Routine
	}
}

package dispatch

import (
	"time"

	"trefoilplank.example/pkg/decision/reach"
)

// minSilence is how long, beyond the usual time to a first event, an upstream that runs requests of this node may be unheard before
// further requests avoid it. A busy one sends an event of some stream each 10 to 50 ms. What is sent to a stopped process is read
// when it goes on, also if it was about to leave.
const minSilence = 150 * time.Millisecond

// SetHeard sets the function that returns when data last arrived from the upstream at an address. Without one no upstream counts as
// silent.
func (s *State) SetHeard(heardAt func(address string) time.Time) { s.heardAt = heardAt }

// AwaitData records that data of a run is awaited from an upstream from now on.
func (s *State) AwaitData(id string, now time.Time) {
	u := s.byID[id]
	if u == nil {
		return
	}
	forgotten := u.own.Online+u.own.Batch <= 1 && now.Sub(u.awaitedSince) >= reach.SoundSilence
	if u.awaitedSince.IsZero() || forgotten {
		u.awaitedSince = now
	}
}

// stopAwaiting records that a run of this node on an upstream has ended. If it was the last one, a silence goes on until the upstream
// is heard.
func (s *State) stopAwaiting(u *upstream, now time.Time) {
	if u.own.Online+u.own.Batch > 0 || u.awaitedSince.IsZero() || s.heardAt == nil {
		return
	}
	u.awaitedSince = s.silentSince(u)
	if !s.silent(u, now) {
		u.awaitedSince = time.Time{}
	}
}

// silentSince returns since when an upstream from which data is awaited has not been heard.
func (s *State) silentSince(u *upstream) time.Time {
	if at := s.heardAt(u.Address); at.After(u.awaitedSince) {
		return at
	}
	return u.awaitedSince
}

// silent reports whether an upstream owes this node data and has not been heard for too long. It is to be avoided, not ejected: it
// probably goes on within reach.SoundSilence. After a longer silence, failures decide.
func (s *State) silent(u *upstream, now time.Time) bool {
	if s.heardAt == nil || u.awaitedSince.IsZero() || now.Sub(u.awaitedSince) < minSilence {
		return false
	}
	since := s.silentSince(u)
	if u.own.Online+u.own.Batch == 0 && since.After(u.awaitedSince) {
		u.awaitedSince = time.Time{}
		return false
	}
	silence := now.Sub(since)
	return silence >= minSilence+s.serviceState(u.Service).firstEvent && silence < reach.SoundSilence
}

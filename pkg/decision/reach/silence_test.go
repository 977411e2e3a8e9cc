package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a run that goes on elsewhere while a stopped upstream still has it, and against one that waits for an upstream
// which is gone.
func TestRunIsMovedOnlyIfItsUpstreamEndsIt(t *testing.T) {
	const silent = 300 * time.Millisecond
	for name, c := range map[string]struct {
		silence Silence
		step    Step
	}{
		"unheard, not checked":               {Silence{Lasted: silent, Unheard: silent}, Check},
		"its VM answers":                     {Silence{Lasted: silent, Unheard: silent, Diagnosis: Reached}, Bear},
		"its VM answers, for over a second":  {Silence{Lasted: 1500 * time.Millisecond, Unheard: 1500 * time.Millisecond, Diagnosis: Reached}, Bear},
		"silent for longer than a sound one": {Silence{Lasted: SoundSilence, Unheard: SoundSilence, Diagnosis: Reached}, MayMove},
		"its process runs":                   {Silence{Lasted: silent, Unheard: 20 * time.Millisecond, Steady: SteadyTime}, MayMove},
		"its process runs for a moment":      {Silence{Lasted: silent, Unheard: 20 * time.Millisecond, Steady: SteadyTime - time.Millisecond}, Bear},
		"its process has just gone on":       {Silence{Lasted: silent, Unheard: 20 * time.Millisecond, Steady: SteadyTime, Woke: true}, Bear},
		"its process is gone":                {Silence{Lasted: silent, Unheard: silent, Diagnosis: Refused}, Move},
		"its VM is gone":                     {Silence{Lasted: silent, Unheard: silent, Diagnosis: Unreachable}, MayMove},
		"this node's link is cut":            {Silence{Lasted: silent, Unheard: silent, Diagnosis: ReachedByOthers}, Move},
		"known to be cut":                    {Silence{Lasted: silent, Unheard: silent, Lost: true}, Move},
		"relayed, own connections lost":      {Silence{Lasted: silent, Unheard: silent, Relayed: true, Lost: true}, Check},
		"relayed, others reach it":           {Silence{Lasted: silent, Unheard: silent, Relayed: true, Lost: true, Diagnosis: ReachedByOthers}, Bear},
		"relayed, its VM answers":            {Silence{Lasted: silent, Unheard: silent, Relayed: true, Lost: true, Diagnosis: Reached}, Bear},
		"relayed, heard on own connections":  {Silence{Lasted: silent, Unheard: 20 * time.Millisecond, Relayed: true}, Check},
		"relayed, nobody to ask":             {Silence{Lasted: silent, Unheard: silent, Relayed: true, Lost: true, Diagnosis: Unknown}, Bear},
		"relayed, silent for too long":       {Silence{Lasted: SoundSilence, Unheard: SoundSilence, Relayed: true, Lost: true}, MayMove},
		"relayed, its process is gone":       {Silence{Lasted: silent, Unheard: silent, Relayed: true, Diagnosis: Refused}, Move},
		"another process has started":        {Silence{Lasted: silent, Unheard: 0, Woke: true, Restarted: true}, Move},
	} {
		assert.Equal(t, c.silence.Step(), c.step, name)
	}
}

// Guards against a run that goes on elsewhere while its stopped upstream has it, because the entry of an upstream that is gone has the
// same address.
func TestOldEntryIsNoRestart(t *testing.T) {
	const address = "10.0.0.1:80"
	entry := func(service string, incarnation int64) Upstream {
		return Upstream{Address: address, Service: service, Incarnation: incarnation}
	}
	now := time.Unix(1000, 0)
	for _, service := range []string{"s", "other"} {
		for _, list := range [][]Upstream{{entry("s", 2), entry(service, 1)}, {entry(service, 1), entry("s", 2)}} {
			s := New()
			s.SetUpstreams(list, now)
			assert.Assert(t, !s.Restarted(address, 2), "%v", list)
			assert.Assert(t, s.Restarted(address, 1), "%v", list)
		}
	}
}

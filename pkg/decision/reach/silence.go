package reach

import "time"

const (
	// SoundSilence is the longest silence of a sound upstream. The platform's rules allow it to fall silent "for a second or so"
	// and callers to abandon a stream after two seconds without an event.
	SoundSilence = 2 * time.Second
	// RunningLimit is how long ago data may have arrived from an upstream whose process runs. A busy one sends an event of
	// some stream each 10 to 50 ms.
	RunningLimit = 60 * time.Millisecond
	// SteadyTime is how long a process must have run without a pause to count as one that runs on. One that is short of processor time
	// runs for moments, and what this node reads late looks like such a moment.
	SteadyTime = SilenceLimit
)

// Diagnosis is what a check of an upstream has shown.
type Diagnosis string

// Diagnoses. The kernel of a stopped process answers connects too: Reached says nothing about the process.
const (
	// Unchecked means that there was no check.
	Unchecked Diagnosis = ""
	// Reached means that this node connects to the upstream.
	Reached Diagnosis = "reached"
	// ReachedByOthers means that another node connects to the upstream and this one does not.
	ReachedByOthers Diagnosis = "reached by others"
	// Refused means that nothing listens at the upstream's address.
	Refused Diagnosis = "refused"
	// Unreachable means that neither this node nor another one that was asked can connect to the upstream.
	Unreachable Diagnosis = "unreachable"
	// Unknown means that no other node could be asked.
	Unknown Diagnosis = "unknown"
)

// Silence describes a run of which nothing has arrived for too long, and its upstream. The run must not go on elsewhere while the
// upstream still has it.
type Silence struct {
	// Lasted is how long nothing of the run has arrived, Unheard how long nothing at all has arrived from the upstream.
	Lasted, Unheard time.Duration
	// Steady is for how long data had arrived from the upstream, without a pause of RunningLimit, when it last arrived.
	Steady time.Duration
	// Woke is set if the upstream was unheard when the run was last looked at.
	Woke bool
	// Relayed is set if the run's connection goes through another node. This node's own connections then show nothing about it, and
	// data may have been held up on the way.
	Relayed bool
	// Lost is set if what was sent over this node's own connections can't be answered any more, Restarted if another process serves
	// at the upstream's address.
	Lost, Restarted bool
	// Diagnosis is the result of a check that was made during the silence.
	Diagnosis Diagnosis
}

// Step is what to do about a silent run.
type Step string

// Steps.
const (
	// Bear waits on.
	Bear Step = "bear"
	// Check checks whether the upstream can be reached.
	Check Step = "check"
	// MayMove continues the run at another upstream if the retry budget allows it.
	MayMove Step = "may move"
	// Move continues the run at another upstream.
	Move Step = "move"
)

// Running reports whether the upstream's process ran a moment ago.
func (s Silence) Running() bool { return !s.Relayed && s.Unheard < RunningLimit }

// Step returns what to do. A process that runs ends a run as soon as its connection is closed; one that is stopped holds the run
// and goes on with it later. If the process is gone, or out of reach, nothing is left to wait for.
func (s Silence) Step() Step {
	switch {
	case s.Restarted, s.Diagnosis == Refused, !s.Relayed && (s.Lost || s.Diagnosis == ReachedByOthers):
		return Move
	case s.Lasted >= SoundSilence, s.Diagnosis == Unreachable:
		return MayMove
	case s.Running() && (s.Woke || s.Steady < SteadyTime):
		return Bear
	case s.Running():
		return MayMove
	case s.Diagnosis == Unchecked:
		return Check
	}
	return Bear
}

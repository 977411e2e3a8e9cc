package uplink

import (
	"context"
	"errors"
	"syscall"
	"time"

	"trefoilplank.example/pkg/decision/reach"
)

// Diagnosis is what a check of an upstream has shown.
type Diagnosis = reach.Diagnosis

// Diagnoses.
const (
	Reached         = reach.Reached
	ReachedByOthers = reach.ReachedByOthers
	Refused         = reach.Refused
	Unreachable     = reach.Unreachable
	Unknown         = reach.Unknown
)

// diagnosisKey distinguishes checks. awaitOwn is set for one that waits for the end of this node's own attempt, relayed for one that
// makes none.
type diagnosisKey struct {
	address           string
	awaitOwn, relayed bool
}

// diagnosis is a check in progress, or its result once done is closed.
type diagnosis struct {
	done   chan struct{}
	result Diagnosis
	at     time.Time
}

// Diagnose tries to connect to an upstream, directly and then through another node, and returns what that showed. Checks of
// the same upstream at the same time are made once. If ctx ends before, it returns Unreachable.
func (l *Links) Diagnose(ctx context.Context, address string) Diagnosis {
	return l.sharedDiagnosis(ctx, diagnosisKey{address: address})
}

// sharedDiagnosis makes a check, or waits for the result of the same one.
func (l *Links) sharedDiagnosis(ctx context.Context, key diagnosisKey) Diagnosis {
	l.mu.Lock()
	for k, d := range l.diagnoses {
		if !d.at.IsZero() && time.Since(d.at) > diagnosisLifetime {
			delete(l.diagnoses, k)
		}
	}
	d := l.diagnoses[key]
	if d == nil {
		d = &diagnosis{done: make(chan struct{})}
		l.diagnoses[key] = d
		go l.diagnose(key, d)
	}
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.result
	case <-ctx.Done():
		return Unreachable
	}
}

// DiagnoseSilent is Diagnose for an upstream that is silent. A connection that was made a moment ago shows as much as a new one, and
// another node's connection shows nothing before this node's own attempt has failed.
func (l *Links) DiagnoseSilent(ctx context.Context, address string) Diagnosis {
	l.mu.Lock()
	reached := l.state.ConnectedSince(address, time.Now().Add(-recheckInterval))
	l.mu.Unlock()
	if reached {
		return Reached
	}
	return l.diagnoseAwaitingOwn(ctx, address)
}

// diagnoseAwaitingOwn is Diagnose with a result only after this node's own attempt has ended.
func (l *Links) diagnoseAwaitingOwn(ctx context.Context, address string) Diagnosis {
	return l.sharedDiagnosis(ctx, diagnosisKey{address: address, awaitOwn: true})
}

// DiagnoseRelayed checks an upstream through another node only, for a run whose connection goes through one.
func (l *Links) DiagnoseRelayed(ctx context.Context, address string) Diagnosis {
	return l.sharedDiagnosis(ctx, diagnosisKey{address: address, relayed: true})
}

// diagnose makes one check.
func (l *Links) diagnose(key diagnosisKey, d *diagnosis) {
	begun := time.Now()
	var ownErr, otherErr error
	if key.relayed {
		d.result, otherErr = l.diagnoseRelayed(key.address)
	} else {
		d.result, ownErr, otherErr = l.diagnoseOwn(key)
	}
	l.options.Metrics.countDiagnosis(d.result)
	l.options.Log.Routine("upstream checked", "upstream_address", key.address, "relayed", key.relayed, "result", d.result, "own_error", ownErr,
		"other_error", otherErr, "ms", time.Since(begun).Milliseconds())
	l.mu.Lock()
	d.at = time.Now()
	l.mu.Unlock()
	close(d.done)
}

// diagnoseRelayed tries to connect through another node.
func (l *Links) diagnoseRelayed(address string) (result Diagnosis, otherErr error) {
	otherErr = l.askOthers(address)
	switch {
	case otherErr == nil:
		return Reached, nil
	case errors.Is(otherErr, ErrRefused):
		return Refused, otherErr
	case errors.Is(otherErr, ErrUnreachable):
		return Unreachable, otherErr
	}
	return Unknown, otherErr
}

// diagnoseOwn tries to connect directly and then through another node.
func (l *Links) diagnoseOwn(key diagnosisKey) (result Diagnosis, ownErr, otherErr error) {
	address := key.address
	own := make(chan error, 1)
	go func() { own <- l.check(address) }()
	ownEnded := false
	timer := time.NewTimer(helperDelay)
	defer timer.Stop()
	select {
	case ownErr = <-own:
		ownEnded = true
	case <-timer.C:
	}
	if !ownEnded || ownErr != nil {
		otherErr = l.askOthers(address)
	}
	if !ownEnded && (otherErr != nil || key.awaitOwn) {
		ownErr, ownEnded = <-own, true
	}
	switch {
	case ownEnded && ownErr == nil, otherErr == nil && l.acceptsNow(address, ownErr):
		result = Reached
	case otherErr == nil:
		result = ReachedByOthers
		l.reachedByOthers(address)
		if !ownEnded {
			go l.confirm(address, own)
		}
	case errors.Is(otherErr, ErrRefused), errors.Is(ownErr, syscall.ECONNREFUSED) && errors.Is(otherErr, ErrNoHelper):
		result = Refused
	default:
		result = Unreachable
	}
	return result, ownErr, otherErr
}

// acceptsNow reports whether this node connects to an upstream that refused its connection with ownErr before another node connected.
// An upstream that restarts refuses connections until it listens.
func (l *Links) acceptsNow(address string, ownErr error) bool {
	return errors.Is(ownErr, syscall.ECONNREFUSED) && l.check(address) == nil
}

// TryConnect checks whether an upstream takes connections, from any node. The error matches syscall.ECONNREFUSED if nothing
// listens at its address.
func (l *Links) TryConnect(ctx context.Context, address string) error {
	switch l.Diagnose(ctx, address) {
	case Reached, ReachedByOthers:
		return nil
	case Refused:
		return syscall.ECONNREFUSED
	}
	return ErrUnreachable
}

// confirm records that another node connects to an upstream, once this node's own attempt has failed.
func (l *Links) confirm(address string, own <-chan error) {
	if err := <-own; err != nil && !l.acceptsNow(address, err) {
		l.reachedByOthers(address)
	}
}

// askOthers connects to an upstream through another node and closes the connection.
func (l *Links) askOthers(address string) error {
	conn, err := l.connectRelayed(context.Background(), address)
	if err == nil {
		_ = conn.Close() // Nothing was sent.
	}
	return err
}

// reachedByOthers records that another node connects to an upstream. If this node's connections to it fail, it is reached
// through other nodes from now on.
func (l *Links) reachedByOthers(address string) {
	defer l.watch() // The return is checked by polls.
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	relayed := l.state.OthersReach(address, now)
	if len(relayed) == 0 {
		return
	}
	service := l.state.Service(address)
	count, cutOff := l.state.Unreached()
	l.options.Log.Notice("upstreams are reached through other nodes", "upstream_address", address, "service", service, "upstreams", len(relayed),
		"all_upstreams", count, "no_other_upstreams", cutOff, "heard_ms", now.Sub(l.state.LastHeard(service)).Milliseconds())
	for _, t := range l.transports {
		t.CloseIdleConnections() // What is sent on them would hang, or break.
	}
	l.changed(relayed, false)
}

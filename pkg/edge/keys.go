package edge

import (
	"context"
	"time"

	"trefoilplank.example/pkg/decision/keyvalidity"
	"trefoilplank.example/pkg/wait"
)

// keysLookInterval is how often the node looks whether keys are valid, to log changes. Requests look for themselves.
const keysLookInterval = 200 * time.Millisecond

// confirmPart is the part of the bound from which on the node does not rely on other nodes alone to confirm the configuration: 3 s of the platform's
// 5 s. In normal operation the age stays below 1.8 s, and while a hub is lost below 2.8 s.
const confirmPart = 0.6

// keysAge returns the time since the configuration in force was last known to be the store's newest, counted over suspensions and freezes;
// keyvalidity.Never if it never was. It is kept only with StrictRevocation; otherwise keysAge returns 0.
func (n *Node) keysAge() time.Duration {
	if !n.settings.StrictRevocation {
		return 0
	}
	return n.mirror.InForceAge(n.platform.ConfigPrefix())
}

// revocationBound returns the time after which a removed key must not work.
func (n *Node) revocationBound() time.Duration {
	return milliseconds(n.settings.RevocationMS)
}

// confirmAge returns the age of the configuration from which on the node reads the store itself.
func (n *Node) confirmAge() time.Duration {
	return time.Duration(confirmPart * float64(n.revocationBound()))
}

// configurationInForce returns what reports whether the configuration last read is in force; nil if ages are not kept.
func (n *Node) configurationInForce() func() bool {
	if !n.settings.StrictRevocation {
		return nil
	}
	return func() bool { return n.copyInForce }
}

// ageExchange returns the functions by which the load exchange carries ages of the configuration; nil if ages are not kept.
func (n *Node) ageExchange() (ages func() map[string]keyvalidity.Age, apply func(time.Duration, map[string]keyvalidity.Age)) {
	if !n.settings.StrictRevocation {
		return nil, nil
	}
	return n.mirror.Ages, n.mirror.ApplyAges
}

// registerKeyMetrics registers the age of the configuration in force, -1 if it is not known.
func (n *Node) registerKeyMetrics() {
	if !n.settings.StrictRevocation {
		return
	}
	n.metrics.NewGauge("trefoilplank_keys_age_seconds", func() float64 {
		if age := n.keysAge(); age != keyvalidity.Never {
			return age.Seconds()
		}
		return -1
	})
}

// watchKeys logs when keys lapse and when they are valid again, until ctx ends.
func (n *Node) watchKeys(ctx context.Context) error {
	if !n.settings.StrictRevocation {
		return nil
	}
	lapses := n.metrics.NewCounter("trefoilplank_key_lapses_total")
	valid, since := false, time.Now()
	for ctx.Err() == nil {
		t := n.table.Load()
		age := n.keysAge()
		if now := keyvalidity.Valid(age, n.revocationBound()); t != nil && t.HasCustomers() && now != valid {
			valid = now
			if valid {
				n.log.Notice("callers' keys are valid", "age_ms", age.Milliseconds(), "after_ms", time.Since(since).Milliseconds())
			} else {
				lapses.Inc()
				n.log.Notice("callers' keys have lapsed: the configuration in force is not known to be the newest", "age_ms", age.Milliseconds())
			}
			since = time.Now()
		}
		_ = wait.Sleep(ctx, keysLookInterval)
	}
	return nil
}

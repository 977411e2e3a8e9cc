package burn

// Alert thresholds: burn 14.4 over an hour spends 2 % of a 30-day error budget, burn 1 over three days spends 10 %.
const (
	FastBurn = 14.4
	SlowBurn = 1.0
)

// minBad is the smallest number of bad requests in the long window that an alert needs. Without it one slow
// request of an institution with little traffic raises an alert.
const minBad = 3

// Rate returns the burn rate of a count: the part of bad requests divided by the error budget 1 - target.
// At rate 1 the budget is spent exactly at the end of its period. Without requests nothing burns.
func Rate(c Count, target float64) float64 {
	if c.Total() == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total()) / (1 - target)
}

// Alerts says which alerts fire.
type Alerts struct {
	Fast bool `json:"fast"`
	Slow bool `json:"slow"`
}

// Judge returns the alerts of an objective: fast when both 5 m and 1 h burn at FastBurn or more, slow when both
// 6 h and 3 d burn at SlowBurn or more.
func Judge(c Counts, target float64) Alerts {
	both := func(short, long Window, threshold float64) bool {
		return c[long].Bad >= minBad && Rate(c[short], target) >= threshold && Rate(c[long], target) >= threshold
	}
	return Alerts{Fast: both(Window5m, Window1h, FastBurn), Slow: both(Window6h, Window3d, SlowBurn)}
}

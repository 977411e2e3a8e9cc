package burn

// Burn rates at which alerts fire: a rate of 14.4 over an hour spends 2 % of a 30-day error budget, a rate of 1
// over three days spends 10 %.
const (
	FastBurn = 14.4
	SlowBurn = 1.0
)

// minBadRequests is the number of bad requests in the long window that an alert requires. Without it, one slow request
// of an institution with little traffic would raise an alert.
const minBadRequests = 3

// Rate returns the burn rate of a count: the fraction of bad requests divided by the error budget 1 - target. At rate 1
// the budget is spent exactly at the end of its period. Without requests, or for a target of 1 or more, the rate is 0.
func Rate(c Count, target float64) float64 {
	if c.Total() == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total()) / (1 - target)
}

// Alerts holds which burn-rate alerts of an objective fire.
type Alerts struct {
	Fast bool `json:"fast"`
	Slow bool `json:"slow"`
}

// EvaluateAlerts returns the alerts of an objective: fast if the burn rates over 5 m and 1 h are both at least
// FastBurn, slow if those over 6 h and 3 d are both at least SlowBurn.
func EvaluateAlerts(c Counts, target float64) Alerts {
	bothExceed := func(short, long Window, threshold float64) bool {
		return c[long].Bad >= minBadRequests && Rate(c[short], target) >= threshold && Rate(c[long], target) >= threshold
	}
	return Alerts{Fast: bothExceed(Window5m, Window1h, FastBurn), Slow: bothExceed(Window6h, Window3d, SlowBurn)}
}

package devfleet

import (
	"time"

	"trefoilplank.example/api"
)

// Zone is an availability zone of the sample fleet with its region.
type Zone struct{ Name, Region string }

// Zones holds the availability zones of the sample fleet. Node i is placed in zone i modulo their number.
var Zones = []Zone{
	{"pamplemousses", "mu-north"}, {"terre-rouge", "mu-north"}, {"triolet", "mu-north"},
	{"centro", "montevideo"}, {"cordon", "montevideo"}, {"pocitos", "montevideo"}, {"prado", "montevideo"},
}

// zoneNames returns the availability zones of a region.
func zoneNames(region string) []string {
	var names []string
	for _, z := range Zones {
		if z.Region == region {
			names = append(names, z.Name)
		}
	}
	return names
}

// sampleDeployments returns the deployments of the sample fleet, which are smaller versions of the first two deployments.
func sampleDeployments() []deployment {
	notBatch, isBatch := false, true
	return []deployment{
		{
			institution: "board", displayName: "Port Louis Civic Verification Board",
			zones: zoneNames("mu-north"), model: "reference-summary", service: "status", engineCount: 3, serviceCount: 2,
			rules: api.InstitutionRules{
				Institution: "board", Share: 1,
				Rate: api.Rate{RequestsPerSecond: 5000, Burst: 10000, Concurrency: 2000},
				Classes: []api.Class{
					{Name: "status-lookup", Match: api.Match{Service: "status", Batch: &notBatch}},
					{Name: "dossier", Match: api.Match{Batch: &isBatch}},
					{Name: "summary", Match: api.Match{Model: "reference-summary"}},
				},
				Objectives: []api.Objective{
					objective("lookup", "status-lookup", api.MetricDuration, 200*time.Millisecond, 0.99),
					objective("first-token", "summary", api.MetricFirstToken, 1600*time.Millisecond, 0.95),
					objective("between-tokens", "summary", api.MetricBetweenTokens, 33*time.Millisecond, 0.95),
				},
				CompletionWindow: api.Duration(4 * time.Hour), OnlineTailWeight: 0.8,
			},
		},
		{
			institution: "agencia", displayName: "Agencia Nacional de Liquidacion de Derechos Musicales",
			zones: zoneNames("montevideo"), model: "rights-tagger", service: "portal", engineCount: 4, serviceCount: 2,
			rules: api.InstitutionRules{
				Institution: "agencia", Share: 1,
				Rate: api.Rate{RequestsPerSecond: 5000, Burst: 10000, Concurrency: 2000},
				Classes: []api.Class{
					{Name: "portal", Match: api.Match{Service: "portal", Batch: &notBatch}},
					{Name: "tagging", Match: api.Match{Model: "rights-tagger", Batch: &notBatch}},
					{Name: "statements", Match: api.Match{Batch: &isBatch}},
				},
				Objectives: []api.Objective{
					objective("portal", "portal", api.MetricDuration, 500*time.Millisecond, 0.99),
					objective("first-token", "tagging", api.MetricFirstToken, 1600*time.Millisecond, 0.95),
				},
				CompletionWindow: api.Duration(24 * time.Hour), OnlineTailWeight: 0.3,
			},
		},
	}
}

func objective(name, class string, metric api.Metric, latency time.Duration, target float64) api.Objective {
	return api.Objective{Name: name, Class: class, Metric: metric, Latency: api.Duration(latency), Target: target}
}

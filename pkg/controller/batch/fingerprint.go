package batch

import (
	"trefoilplank.example/pkg/batch/line"
	"trefoilplank.example/pkg/gateway/prompt"
)

// fingerprint identifies an item for the quarantine as the gateway identifies the same request sent online.
func fingerprint(institution string, item *line.Item) string {
	if item.Service != "" {
		return prompt.Fingerprint(institution, item.Service, item.Method, item.Path, string(item.Body))
	}
	canonical, err := prompt.Canonical(item.Body)
	if err != nil {
		canonical = item.Body
	}
	return prompt.Fingerprint(institution, item.Model, string(canonical))
}

package batch

import (
	"strings"

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

// promptParts returns the parts of an item's prompt as the gateway finds them in the same request sent online.
func promptParts(item *line.Item, model, adapter string) []string {
	if item.Service != "" {
		return nil
	}
	body, err := prompt.Parse(item.Body, strings.HasSuffix(item.Path, "/chat/completions"))
	if err != nil {
		return nil // The engine will say what is wrong.
	}
	return body.Parts(model, adapter)
}

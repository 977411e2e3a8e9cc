package api

import (
	"fmt"
	"net"
	"regexp"
)

// digestPattern matches a SHA-256 digest in lower-case hex.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// namePattern matches names that are safe in URLs, object keys and log fields.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// checker collects the findings of one check with the places of the documents.
type checker struct {
	places   map[string]place
	findings Findings
}

func (c *checker) add(path, format string, args ...any) {
	p := c.places[path]
	c.findings = append(c.findings, Finding{
		Document: p.document, Line: p.line, Column: p.column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// Check returns all faults of a configuration that would come into force: references, duplicates, grants that
// can't be reached, impossible objectives, shares and address clashes. Places are filled in for what d holds.
func (d *Documents) Check(c Config) Findings {
	k := &checker{places: d.places}
	k.checkRegister(c.Register)
	k.checkRules(c.Register, c.Rules)
	return k.findings
}

func (k *checker) checkRegister(r Register) {
	institutions := k.institutions(r)
	models := k.models(r)
	k.versions(r, models)
	k.adapters(r, models)
	services := k.upstreams(r, models)
	k.callers(r, institutions, models, services)
}

// name checks the form and uniqueness of a name and records it in seen.
func (k *checker) name(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		k.add(path, "name is missing")
	case !namePattern.MatchString(name):
		k.add(path+".name", "name %q must be letters, digits, '.', '_' or '-', at most 128", name)
	case seen[name]:
		k.add(path+".name", "name %q is used twice", name)
	}
	seen[name] = true
}

func (k *checker) institutions(r Register) map[string]bool {
	seen := map[string]bool{}
	for i, x := range r.Institutions {
		k.name(fmt.Sprintf("register.institutions[%d]", i), x.Name, seen)
	}
	return seen
}

func (k *checker) models(r Register) map[string]bool {
	seen := map[string]bool{}
	capacity := map[string]int{}
	for _, u := range r.Upstreams {
		for _, m := range u.Models {
			capacity[m]++
		}
	}
	versions := map[string]bool{}
	for _, v := range r.Versions {
		versions[v.Model+"/"+v.Name] = true
	}
	for i, m := range r.Models {
		path := fmt.Sprintf("register.models[%d]", i)
		k.name(path, m.Name, seen)
		if m.Version != "" && !versions[m.Name+"/"+m.Version] {
			k.add(path+".version", "version %q of model %q is not in versions", m.Version, m.Name)
		}
		if m.Replicas < 0 || m.MinReplicas < 0 {
			k.add(path, "replica counts must not be negative")
		}
		if m.Replicas > capacity[m.Name] {
			k.add(path+".replicas", "%d replicas are asked for, %d upstreams list the model", m.Replicas, capacity[m.Name])
		}
		if m.Replicas > 0 && m.MinReplicas > m.Replicas {
			k.add(path+".min_replicas", "serving minimum %d is above the %d replicas", m.MinReplicas, m.Replicas)
		}
	}
	return seen
}

func (k *checker) versions(r Register, models map[string]bool) {
	seen := map[string]bool{}
	for i, v := range r.Versions {
		path := fmt.Sprintf("register.versions[%d]", i)
		if !models[v.Model] {
			k.add(path+".model", "model %q is not in models", v.Model)
		}
		if v.Name == "" {
			k.add(path, "name is missing")
		}
		if seen[v.Model+"/"+v.Name] {
			k.add(path+".name", "version %q of model %q is given twice", v.Name, v.Model)
		}
		seen[v.Model+"/"+v.Name] = true
		if v.WeightsBytes < 0 {
			k.add(path+".weights_bytes", "must not be negative")
		}
	}
}

func (k *checker) adapters(r Register, models map[string]bool) {
	seen := map[string]bool{}
	for i, a := range r.Adapters {
		path := fmt.Sprintf("register.adapters[%d]", i)
		k.name(path, a.Name, seen)
		if models[a.Name] {
			k.add(path+".name", "name %q is also the name of a model", a.Name)
		}
		if !models[a.Model] {
			k.add(path+".model", "model %q is not in models", a.Model)
		}
	}
}

// upstreams checks the upstreams and returns the names of the plain services.
func (k *checker) upstreams(r Register, models map[string]bool) map[string]bool {
	seen, services := map[string]bool{}, map[string]bool{}
	addresses := map[string]string{}
	for i, u := range r.Upstreams {
		path := fmt.Sprintf("register.upstreams[%d]", i)
		k.name(path, u.Name, seen)
		k.upstreamAddress(path, u, addresses)
		if u.AvailabilityZone == "" {
			k.add(path, "availability_zone is missing")
		}
		if u.Fencing != "" && u.Fencing != FencingEnforced && u.Fencing != FencingIgnored {
			k.add(path+".fencing", "fencing %q is not enforced or ignored", u.Fencing)
		}
		k.upstreamKind(path, u, models)
		if u.Service != "" {
			services[u.Service] = true
		}
	}
	return services
}

func (k *checker) upstreamAddress(path string, u Upstream, addresses map[string]string) {
	host, _, err := net.SplitHostPort(u.Address)
	switch {
	case err != nil:
		k.add(path+".address", "address %q must be IP:port", u.Address)
	case net.ParseIP(host) == nil:
		k.add(path+".address", "address %q must hold an IP number, not a host name", u.Address)
	case addresses[u.Address] != "":
		k.add(path+".address", "address %q is also the address of upstream %q", u.Address, addresses[u.Address])
	}
	addresses[u.Address] = u.Name
}

func (k *checker) upstreamKind(path string, u Upstream, models map[string]bool) {
	switch u.Kind {
	case UpstreamEngine:
		if len(u.Models) == 0 {
			k.add(path, "an engine needs at least one model")
		}
		if u.Service != "" {
			k.add(path+".service", "an engine serves no plain service")
		}
	case UpstreamService:
		if u.Service == "" {
			k.add(path, "an upstream of kind service needs a service name")
		} else if !namePattern.MatchString(u.Service) {
			k.add(path+".service", "service %q must be letters, digits, '.', '_' or '-', at most 128", u.Service)
		}
		if len(u.Models) > 0 {
			k.add(path+".models", "an upstream of kind service serves no model")
		}
	default:
		k.add(path+".kind", "kind %q is not engine or service", u.Kind)
	}
	for j, m := range u.Models {
		if !models[m] {
			k.add(fmt.Sprintf("%s.models[%d]", path, j), "model %q is not in models", m)
		}
	}
}

func (k *checker) callers(r Register, institutions, models, services map[string]bool) {
	seen := map[string]bool{}
	digests := map[string]string{}
	served := map[string]bool{}
	for _, u := range r.Upstreams {
		for _, m := range u.Models {
			served[m] = true
		}
	}
	adapters := map[string]string{}
	for _, a := range r.Adapters {
		adapters[a.Name] = a.Model
	}
	for i, c := range r.Callers {
		path := fmt.Sprintf("register.callers[%d]", i)
		k.name(path, c.Name, seen)
		if !institutions[c.Institution] {
			k.add(path+".institution", "institution %q is not in institutions", c.Institution)
		}
		for j, dig := range c.KeyDigests {
			p := fmt.Sprintf("%s.key_digests[%d]", path, j)
			if !digestPattern.MatchString(dig) {
				k.add(p, "must be a SHA-256 digest, 64 lower-case hex digits")
			} else if digests[dig] != "" {
				k.add(p, "the same key belongs to caller %q", digests[dig])
			}
			digests[dig] = c.Name
		}
		k.grants(path+".grants", c.Grants, models, served, services, adapters)
	}
}

func (k *checker) grants(path string, g Grants, models, served, services map[string]bool, adapters map[string]string) {
	for j, m := range g.Models {
		p := fmt.Sprintf("%s.models[%d]", path, j)
		base := m
		if a, ok := adapters[m]; ok {
			base = a
		}
		if !models[base] {
			k.add(p, "model %q is not in models or adapters", m)
		} else if !served[base] {
			k.add(p, "no upstream serves model %q", m)
		}
	}
	for j, s := range g.Services {
		if !services[s] {
			k.add(fmt.Sprintf("%s.services[%d]", path, j), "no upstream serves service %q", s)
		}
	}
}

func (k *checker) checkRules(r Register, rules Rules) {
	known := map[string]bool{}
	for _, i := range r.Institutions {
		known[i.Name] = true
	}
	seen := map[string]bool{}
	for i, x := range rules.Institutions {
		path := fmt.Sprintf("rules.institutions[%d]", i)
		if !known[x.Institution] {
			k.add(path+".institution", "institution %q is not in the register", x.Institution)
		}
		if seen[x.Institution] {
			k.add(path+".institution", "institution %q has rules twice", x.Institution)
		}
		seen[x.Institution] = true
		k.limits(path, x)
		classes := k.classes(path, x, r)
		k.objectives(path, x, classes)
	}
}

func (k *checker) limits(path string, x InstitutionRules) {
	if x.Share <= 0 {
		k.add(path+".share", "share must be above 0")
	}
	if x.Rate.RequestsPerSecond < 0 || x.Rate.Burst < 0 || x.Rate.Concurrency < 0 {
		k.add(path+".rate", "rate values must not be negative")
	}
	if x.OnlineTailWeight < 0 || x.OnlineTailWeight > 1 {
		k.add(path+".online_tail_weight", "must be between 0 and 1")
	}
	if x.CompletionWindow < 0 {
		k.add(path+".completion_window", "must not be negative")
	}
}

func (k *checker) classes(path string, x InstitutionRules, r Register) map[string]bool {
	callers, models, services := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, c := range r.Callers {
		callers[c.Name] = c.Institution == x.Institution
	}
	for _, m := range r.Models {
		models[m.Name] = true
	}
	for _, u := range r.Upstreams {
		services[u.Service] = true
	}
	names := map[string]bool{}
	for i, c := range x.Classes {
		p := fmt.Sprintf("%s.classes[%d]", path, i)
		k.name(p, c.Name, names)
		if c.Match.Caller != "" && !callers[c.Match.Caller] {
			k.add(p+".match.caller", "caller %q is not a caller of institution %q", c.Match.Caller, x.Institution)
		}
		if c.Match.Model != "" && !models[c.Match.Model] {
			k.add(p+".match.model", "model %q is not in the register", c.Match.Model)
		}
		if c.Match.Service != "" && !services[c.Match.Service] {
			k.add(p+".match.service", "no upstream serves service %q", c.Match.Service)
		}
		if i > 0 && x.Classes[i-1].Match == (Match{}) {
			k.add(p, "class %q can't be reached: the class before it matches every request", c.Name)
		}
	}
	return names
}

func (k *checker) objectives(path string, x InstitutionRules, classes map[string]bool) {
	seen := map[string]bool{}
	for i, o := range x.Objectives {
		p := fmt.Sprintf("%s.objectives[%d]", path, i)
		k.name(p, o.Name, seen)
		if o.Class != "" && !classes[o.Class] {
			k.add(p+".class", "class %q is not one of the institution's classes", o.Class)
		}
		if o.Latency <= 0 {
			k.add(p+".latency", "latency must be above 0")
		}
		if o.Target <= 0 || o.Target >= 1 {
			k.add(p+".target", "target must be a part between 0 and 1, both excluded")
		}
		switch o.Metric {
		case MetricFirstToken, MetricBetweenTokens, MetricDuration:
		default:
			k.add(p+".metric", "metric %q is not first_token, between_tokens or duration", o.Metric)
		}
	}
}

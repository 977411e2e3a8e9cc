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

// checker collects the findings of one check. positions holds the positions of the documents' values by path.
type checker struct {
	positions map[string]position
	findings  Findings
}

// addFinding adds a finding at the position of path, or without a position when the documents do not hold path.
func (k *checker) addFinding(path, format string, args ...any) {
	p := k.positions[path]
	k.findings = append(k.findings, Finding{
		Document: p.document, Line: p.line, Column: p.column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// Check returns all faults of c, the configuration that applying d would bring into force: unknown references,
// duplicates, grants that no upstream serves, impossible objectives, invalid shares and address clashes. Findings
// about values of d have their positions.
func (d *Documents) Check(c Config) Findings {
	k := &checker{positions: d.positions}
	k.checkRegister(c.Register)
	k.checkRules(c.Register, c.Rules)
	return k.findings
}

// checkRegister checks the register, whose parts refer to each other by name.
func (k *checker) checkRegister(r Register) {
	institutions := k.checkInstitutions(r)
	models := k.checkModels(r)
	k.checkVersions(r, models)
	k.checkAdapters(r, models)
	services := k.checkUpstreams(r, models)
	k.checkCallers(r, institutions, models, services)
}

// checkName checks the form and uniqueness of a name and records it in seen.
func (k *checker) checkName(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		k.addFinding(path, "name is missing")
	case !namePattern.MatchString(name):
		k.addFinding(path+".name", "name %q must be letters, digits, '.', '_' or '-', at most 128", name)
	case seen[name]:
		k.addFinding(path+".name", "name %q is used twice", name)
	}
	seen[name] = true
}

// checkInstitutions checks the institutions and returns their names.
func (k *checker) checkInstitutions(r Register) map[string]bool {
	seen := map[string]bool{}
	for i, x := range r.Institutions {
		k.checkName(fmt.Sprintf("register.institutions[%d]", i), x.Name, seen)
	}
	return seen
}

// checkModels checks the models and returns their names.
func (k *checker) checkModels(r Register) map[string]bool {
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
		k.checkName(path, m.Name, seen)
		if m.Version != "" && !versions[m.Name+"/"+m.Version] {
			k.addFinding(path+".version", "version %q of model %q is not in versions", m.Version, m.Name)
		}
		if m.Replicas < 0 || m.MinReplicas < 0 {
			k.addFinding(path, "replica counts must not be negative")
		}
		if m.Replicas > capacity[m.Name] {
			k.addFinding(path+".replicas", "%d replicas are asked for, %d upstreams list the model", m.Replicas, capacity[m.Name])
		}
		if m.Replicas > 0 && m.MinReplicas > m.Replicas {
			k.addFinding(path+".min_replicas", "serving minimum %d is above the %d replicas", m.MinReplicas, m.Replicas)
		}
	}
	return seen
}

// checkVersions checks the versions against the names of the models.
func (k *checker) checkVersions(r Register, models map[string]bool) {
	seen := map[string]bool{}
	for i, v := range r.Versions {
		path := fmt.Sprintf("register.versions[%d]", i)
		if !models[v.Model] {
			k.addFinding(path+".model", "model %q is not in models", v.Model)
		}
		if v.Name == "" {
			k.addFinding(path, "name is missing")
		}
		if seen[v.Model+"/"+v.Name] {
			k.addFinding(path+".name", "version %q of model %q is given twice", v.Name, v.Model)
		}
		seen[v.Model+"/"+v.Name] = true
		if v.WeightsBytes < 0 {
			k.addFinding(path+".weights_bytes", "must not be negative")
		}
	}
}

// checkAdapters checks the adapters against the names of the models.
func (k *checker) checkAdapters(r Register, models map[string]bool) {
	seen := map[string]bool{}
	for i, a := range r.Adapters {
		path := fmt.Sprintf("register.adapters[%d]", i)
		k.checkName(path, a.Name, seen)
		if models[a.Name] {
			k.addFinding(path+".name", "name %q is also the name of a model", a.Name)
		}
		if !models[a.Model] {
			k.addFinding(path+".model", "model %q is not in models", a.Model)
		}
	}
}

// checkUpstreams checks the upstreams and returns the names of the plain services.
func (k *checker) checkUpstreams(r Register, models map[string]bool) map[string]bool {
	seen, services := map[string]bool{}, map[string]bool{}
	addresses := map[string]string{}
	for i, u := range r.Upstreams {
		path := fmt.Sprintf("register.upstreams[%d]", i)
		k.checkName(path, u.Name, seen)
		k.checkUpstreamAddress(path, u, addresses)
		if u.AvailabilityZone == "" {
			k.addFinding(path, "availability_zone is missing")
		}
		if u.Fencing != "" && u.Fencing != FencingEnforced && u.Fencing != FencingIgnored {
			k.addFinding(path+".fencing", "fencing %q is not enforced or ignored", u.Fencing)
		}
		k.checkUpstreamKind(path, u, models)
		if u.Service != "" {
			services[u.Service] = true
		}
	}
	return services
}

// checkUpstreamAddress checks the address of an upstream and records its owner in addresses.
func (k *checker) checkUpstreamAddress(path string, u Upstream, addresses map[string]string) {
	host, _, err := net.SplitHostPort(u.Address)
	switch {
	case err != nil:
		k.addFinding(path+".address", "address %q must be IP:port", u.Address)
	case net.ParseIP(host) == nil:
		k.addFinding(path+".address", "address %q must hold an IP number, not a host name", u.Address)
	case addresses[u.Address] != "":
		k.addFinding(path+".address", "address %q is also the address of upstream %q", u.Address, addresses[u.Address])
	}
	addresses[u.Address] = u.Name
}

// checkUpstreamKind checks that the models and the service of an upstream fit its kind.
func (k *checker) checkUpstreamKind(path string, u Upstream, models map[string]bool) {
	switch u.Kind {
	case UpstreamEngine:
		if len(u.Models) == 0 {
			k.addFinding(path, "an engine needs at least one model")
		}
		if u.Service != "" {
			k.addFinding(path+".service", "an engine serves no plain service")
		}
	case UpstreamService:
		if u.Service == "" {
			k.addFinding(path, "an upstream of kind service needs a service name")
		} else if !namePattern.MatchString(u.Service) {
			k.addFinding(path+".service", "service %q must be letters, digits, '.', '_' or '-', at most 128", u.Service)
		}
		if len(u.Models) > 0 {
			k.addFinding(path+".models", "an upstream of kind service serves no model")
		}
	default:
		k.addFinding(path+".kind", "kind %q is not engine or service", u.Kind)
	}
	for j, m := range u.Models {
		if !models[m] {
			k.addFinding(fmt.Sprintf("%s.models[%d]", path, j), "model %q is not in models", m)
		}
	}
}

// checkCallers checks the callers, their key digests and their grants.
func (k *checker) checkCallers(r Register, institutions, models, services map[string]bool) {
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
		k.checkName(path, c.Name, seen)
		if !institutions[c.Institution] {
			k.addFinding(path+".institution", "institution %q is not in institutions", c.Institution)
		}
		for j, digest := range c.KeyDigests {
			p := fmt.Sprintf("%s.key_digests[%d]", path, j)
			if !digestPattern.MatchString(digest) {
				k.addFinding(p, "must be a SHA-256 digest, 64 lower-case hex digits")
			} else if digests[digest] != "" {
				k.addFinding(p, "the same key belongs to caller %q", digests[digest])
			}
			digests[digest] = c.Name
		}
		k.checkGrants(path+".grants", c.Grants, models, served, services, adapters)
	}
}

// checkGrants checks that all models and services that a caller may use exist and are served.
func (k *checker) checkGrants(path string, g Grants, models, served, services map[string]bool, adapters map[string]string) {
	for j, m := range g.Models {
		p := fmt.Sprintf("%s.models[%d]", path, j)
		base := m
		if a, ok := adapters[m]; ok {
			base = a
		}
		if !models[base] {
			k.addFinding(p, "model %q is not in models or adapters", m)
		} else if !served[base] {
			k.addFinding(p, "no upstream serves model %q", m)
		}
	}
	for j, s := range g.Services {
		if !services[s] {
			k.addFinding(fmt.Sprintf("%s.services[%d]", path, j), "no upstream serves service %q", s)
		}
	}
}

// checkRules checks the rules of each institution against the register.
func (k *checker) checkRules(r Register, rules Rules) {
	known := map[string]bool{}
	for _, i := range r.Institutions {
		known[i.Name] = true
	}
	seen := map[string]bool{}
	for i, x := range rules.Institutions {
		path := fmt.Sprintf("rules.institutions[%d]", i)
		if !known[x.Institution] {
			k.addFinding(path+".institution", "institution %q is not in the register", x.Institution)
		}
		if seen[x.Institution] {
			k.addFinding(path+".institution", "institution %q has rules twice", x.Institution)
		}
		seen[x.Institution] = true
		k.checkLimits(path, x)
		classes := k.checkClasses(path, x, r)
		k.checkObjectives(path, x, classes)
	}
}

// checkLimits checks the numbers in the rules of an institution.
func (k *checker) checkLimits(path string, x InstitutionRules) {
	if x.Share <= 0 {
		k.addFinding(path+".share", "share must be above 0")
	}
	if x.Rate.RequestsPerSecond < 0 || x.Rate.Burst < 0 || x.Rate.Concurrency < 0 {
		k.addFinding(path+".rate", "rate values must not be negative")
	}
	if x.OnlineTailWeight < 0 || x.OnlineTailWeight > 1 {
		k.addFinding(path+".online_tail_weight", "must be between 0 and 1")
	}
	if x.CompletionWindow < 0 {
		k.addFinding(path+".completion_window", "must not be negative")
	}
}

// checkClasses checks the request classes of an institution and returns their names.
func (k *checker) checkClasses(path string, x InstitutionRules, r Register) map[string]bool {
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
		k.checkName(p, c.Name, names)
		if c.Match.Caller != "" && !callers[c.Match.Caller] {
			k.addFinding(p+".match.caller", "caller %q is not a caller of institution %q", c.Match.Caller, x.Institution)
		}
		if c.Match.Model != "" && !models[c.Match.Model] {
			k.addFinding(p+".match.model", "model %q is not in the register", c.Match.Model)
		}
		if c.Match.Service != "" && !services[c.Match.Service] {
			k.addFinding(p+".match.service", "no upstream serves service %q", c.Match.Service)
		}
		if i > 0 && x.Classes[i-1].Match == (Match{}) {
			k.addFinding(p, "class %q can't be reached: the class before it matches every request", c.Name)
		}
	}
	return names
}

// checkObjectives checks the objectives of an institution against the names of its classes.
func (k *checker) checkObjectives(path string, x InstitutionRules, classes map[string]bool) {
	seen := map[string]bool{}
	for i, o := range x.Objectives {
		p := fmt.Sprintf("%s.objectives[%d]", path, i)
		k.checkName(p, o.Name, seen)
		if o.Class != "" && !classes[o.Class] {
			k.addFinding(p+".class", "class %q is not one of the institution's classes", o.Class)
		}
		if o.Latency <= 0 {
			k.addFinding(p+".latency", "latency must be above 0")
		}
		if o.Target <= 0 || o.Target >= 1 {
			k.addFinding(p+".target", "target must be a part between 0 and 1, both excluded")
		}
		switch o.Metric {
		case MetricFirstToken, MetricBetweenTokens, MetricDuration:
		default:
			k.addFinding(p+".metric", "metric %q is not first_token, between_tokens or duration", o.Metric)
		}
	}
}

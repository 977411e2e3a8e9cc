// Package devfleet starts all stand-ins on 127.0.0.1 and describes them in a sample register and sample rules.
package devfleet

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"

	"trefoilplank.example/api"
	"trefoilplank.example/standin/engine"
	"trefoilplank.example/standin/objectapi"
	"trefoilplank.example/standin/plainservice"
	"trefoilplank.example/standin/vmlist"
	"trefoilplank.example/standin/weightstore"
)

// weightTransfersPerSecond is the transfer rate that the stand-in of the weight store allows.
const weightTransfersPerSecond = 4

// StandIns is a set of running stand-ins.
type StandIns struct {
	StoreAddress       string
	VMListAddress      string
	WeightStoreAddress string
	Register           api.Register
	Rules              api.Rules
	// Keys maps each institution to the bearer key of its caller.
	Keys map[string]string

	servers []*http.Server
	engines []*engine.Engine
}

// deployment describes one institution's part of the sample fleet. Its engines serve the model, its plain services the
// service, and both are spread over its availability zones.
type deployment struct {
	institution, displayName  string
	zones                     []string
	model, service            string
	engineCount, serviceCount int
	rules                     api.InstitutionRules
}

// Start starts the stand-ins. The keys and the stand-ins' random choices depend on seed.
func Start(seed uint64) (*StandIns, error) {
	f := &StandIns{Keys: map[string]string{}, Register: api.Register{Kind: api.KindRegister}, Rules: api.Rules{Kind: api.KindRules}}
	var err error
	if f.StoreAddress, err = f.startServer(objectapi.New(seed)); err != nil {
		return nil, err
	}
	for _, d := range sampleDeployments() {
		if err := f.addDeployment(d, seed); err != nil {
			f.Close()
			return nil, err
		}
	}
	var vms []string
	for _, u := range f.Register.Upstreams {
		vms = append(vms, u.VM)
	}
	if f.VMListAddress, err = f.startServer(vmlist.New(vms...)); err != nil {
		f.Close()
		return nil, err
	}
	if f.WeightStoreAddress, err = f.startServer(weightstore.New(weightTransfersPerSecond)); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// startServer serves h on a free port of 127.0.0.1 and returns the address.
func (f *StandIns) startServer(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// addDeployment starts the upstreams of a deployment and adds the deployment to the register and the rules.
func (f *StandIns) addDeployment(d deployment, seed uint64) error {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", d.institution, seed))
	key := "dev-" + d.institution + "-" + hex.EncodeToString(sum[:8])
	f.Keys[d.institution] = key
	keyDigest := sha256.Sum256([]byte(key))
	register := &f.Register
	register.Institutions = append(register.Institutions, api.Institution{Name: d.institution, DisplayName: d.displayName})
	register.Callers = append(register.Callers, api.Caller{
		Name: d.institution + "-desk", Institution: d.institution, KeyDigests: []string{hex.EncodeToString(keyDigest[:])},
		Grants: api.Grants{Models: []string{d.model}, Services: []string{d.service}, Batch: true},
	})
	register.Models = append(register.Models, api.Model{Name: d.model, Version: "v1", MinReplicas: 1})
	register.Versions = append(register.Versions, api.Version{Model: d.model, Name: "v1", WeightsBytes: 1 << 30})
	f.Rules.Institutions = append(f.Rules.Institutions, d.rules)
	for i := range d.engineCount {
		if err := f.addEngine(d, i, seed); err != nil {
			return err
		}
	}
	for i := range d.serviceCount {
		address, err := f.startServer(plainservice.New(d.service))
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s-%d", d.service, i)
		register.Upstreams = append(register.Upstreams, api.Upstream{
			Name: name, Address: address, VM: "vm-" + name, AvailabilityZone: d.zones[i%len(d.zones)],
			Kind: api.UpstreamService, Service: d.service,
		})
	}
	return nil
}

// addEngine starts engine i of a deployment and adds it to the register.
func (f *StandIns) addEngine(d deployment, i int, seed uint64) error {
	name := fmt.Sprintf("%s-%d", d.model, i)
	// Every other engine ignores fencing tokens, as the engines of some deployments do.
	fencing := api.FencingEnforced
	if i%2 == 1 {
		fencing = api.FencingIgnored
	}
	e := engine.New(engine.Options{
		Name: name, Models: map[string]string{d.model: "v1"}, EnforceFencing: fencing == api.FencingEnforced,
		Seed: seed + uint64(i),
	})
	f.engines = append(f.engines, e)
	address, err := f.startServer(e)
	if err != nil {
		return err
	}
	f.Register.Upstreams = append(f.Register.Upstreams, api.Upstream{
		Name: name, Address: address, VM: "vm-" + name, AvailabilityZone: d.zones[i%len(d.zones)],
		Kind: api.UpstreamEngine, Models: []string{d.model}, Fencing: fencing,
	})
	return nil
}

// Close stops all stand-ins.
func (f *StandIns) Close() error {
	var errs []error
	for _, s := range f.servers {
		errs = append(errs, s.Close())
	}
	for _, e := range f.engines {
		e.Close()
	}
	return errors.Join(errs...)
}

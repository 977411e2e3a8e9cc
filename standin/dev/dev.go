// Package dev runs the development fleet: nodes and all stand-ins in one process, with a sample configuration. It also runs
// a demo that checks the fleet's guarantees under a mixed workload.
package dev

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/logs"
	"trefoilplank.example/pkg/node"
	"trefoilplank.example/standin/devfleet"
)

// Options are the flags of the development fleet.
type Options struct {
	Nodes     int    `long:"nodes" env:"TREFOILPLANK_DEV_NODES" default:"3" description:"number of nodes"`
	BasePort  int    `long:"base-port" env:"TREFOILPLANK_DEV_BASE_PORT" default:"18080" description:"node i listens for callers on base-port+10i, operators on +1, peers on +2"`
	Seed      uint64 `long:"seed" env:"TREFOILPLANK_DEV_SEED" default:"1" description:"seed of keys and of the stand-ins' random choices"`
	Demo      bool   `long:"demo" description:"run a mixed workload against the fleet, print what happened and exit"`
	Verbosity int    `short:"v" long:"verbosity" env:"TREFOILPLANK_VERBOSITY" default:"0" description:"log verbosity, 0 to 10"`
	LogFormat string `long:"log-format" env:"TREFOILPLANK_LOG_FORMAT" default:"text" description:"log format, text or json"`
}

const (
	// portsPerNode is the distance between the ports of two nodes.
	portsPerNode = 10
	maxNodes     = 64
	// readyTimeout bounds the time until all nodes have the sample configuration in force and know each other.
	readyTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 20 * time.Millisecond
	// addressTTL is short, so that Ctrl-C stops the fleet quickly.
	addressTTL   = time.Second
	drainTimeout = 30 * time.Second
	// leaseDuration is short, so that other nodes take over the work of a lost one within the time of a demonstration.
	leaseDuration = 10 * time.Second
)

// Check returns a node.SettingsError with every invalid option, or nil.
func (o Options) Check() error {
	var e node.SettingsError
	if o.Nodes < 1 || o.Nodes > maxNodes {
		e = append(e, fmt.Sprintf("--nodes: must be between 1 and %d", maxNodes))
	}
	if last := o.BasePort + portsPerNode*o.Nodes; o.BasePort < 1 || last > 65535 {
		e = append(e, fmt.Sprintf("--base-port: ports %d to %d must be between 1 and 65535", o.BasePort, last))
	}
	if err := logs.CheckFormat(o.LogFormat); err != nil {
		e = append(e, fmt.Sprintf("--log-format: %v", err))
	}
	if len(e) == 0 {
		return nil
	}
	return e
}

// Ready describes the running fleet. It is printed as one line of JSON on standard output once the fleet is ready. Keys
// maps institutions to the bearer keys of their callers.
type Ready struct {
	Ready              bool              `json:"ready"`
	Nodes              []ReadyNode       `json:"nodes"`
	StoreAddress       string            `json:"store_address"`
	VMListAddress      string            `json:"vm_list_address"`
	WeightStoreAddress string            `json:"weight_store_address"`
	Upstreams          []ReadyUpstream   `json:"upstreams"`
	Keys               map[string]string `json:"keys"`
	OperatorKey        string            `json:"operator_key"`
}

// ReadyNode describes one node.
type ReadyNode struct {
	Name             string `json:"name"`
	Address          string `json:"address"`
	AdminAddress     string `json:"admin_address"`
	AvailabilityZone string `json:"availability_zone"`
}

// ReadyUpstream describes one stand-in upstream.
type ReadyUpstream struct {
	Name             string           `json:"name"`
	Kind             api.UpstreamKind `json:"kind"`
	Model            string           `json:"model,omitempty"`
	Service          string           `json:"service,omitempty"`
	Address          string           `json:"address"`
	AvailabilityZone string           `json:"availability_zone"`
}

// Fleet is a running development fleet.
type Fleet struct {
	Ready Ready

	standins  *devfleet.StandIns
	nodes     []*node.Node
	nodeGroup *errgroup.Group
	stop      context.CancelFunc
}

// Run starts a fleet, prints its Ready line and serves until ctx ends or a node fails. With Options.Demo it runs the demo
// on the fleet instead.
func Run(ctx context.Context, o Options, stdout io.Writer) error {
	f, err := Start(o)
	if err != nil {
		return err
	}
	if o.Demo {
		err := runDemo(ctx, f, stdout)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		return err
	}
	if err := json.NewEncoder(stdout).Encode(f.Ready); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-f.nodesEnded():
	}
	return f.Close()
}

// Start starts the stand-ins and nodes and returns once the sample configuration is in force on all nodes and they know
// each other. Close stops the fleet.
func Start(o Options) (*Fleet, error) {
	return start(o, func(int) []node.Option { return nil })
}

// start is Start with options for each node.
func start(o Options, nodeOptions func(node int) []node.Option) (*Fleet, error) {
	standins, err := devfleet.Start(o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Fleet{standins: standins}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	f.nodeGroup, ctx = errgroup.WithContext(ctx)
	operatorKey := developmentKey("operator", o.Seed)
	for i := range o.Nodes {
		n, err := node.New(nodeSettings(o, i, standins, operatorKey), nodeOptions(i)...)
		if err != nil {
			stop()
			_ = standins.Close()
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		f.nodeGroup.Go(func() error { return n.Run(ctx) })
	}
	f.fillReady(operatorKey)
	if err := f.applySampleConfiguration(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// developmentKey derives a key for the named purpose from the seed. Such keys are no secrets.
func developmentKey(purpose string, seed uint64) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d", purpose, seed))
	return "dev-" + purpose + "-" + hex.EncodeToString(sum[:8])
}

// nodeSettings returns the settings of node i. A base port of 0 lets the system choose all ports.
func nodeSettings(o Options, i int, standins *devfleet.StandIns, operatorKey string) node.Settings {
	zone := devfleet.Zones[i%len(devfleet.Zones)]
	port := o.BasePort + portsPerNode*i
	listen := func(offset int) string {
		if o.BasePort == 0 {
			return "127.0.0.1:0"
		}
		return fmt.Sprintf("127.0.0.1:%d", port+offset)
	}
	return node.Settings{
		Name: fmt.Sprintf("node%d", i), AvailabilityZone: zone.Name, Region: zone.Region,
		Listen: listen(0), AdminListen: listen(1), PeerListen: listen(2),
		Store: standins.StoreAddress, VMList: standins.VMListAddress, WeightStore: standins.WeightStoreAddress,
		DrainTimeout: drainTimeout, AddressTTL: addressTTL, LeaseDuration: leaseDuration,
		OperatorKey: operatorKey, PeerSecret: developmentKey("peer", o.Seed),
	}
}

// fillReady sets f.Ready from the running nodes and stand-ins.
func (f *Fleet) fillReady(operatorKey string) {
	f.Ready = Ready{
		Ready: true, StoreAddress: f.standins.StoreAddress, VMListAddress: f.standins.VMListAddress,
		WeightStoreAddress: f.standins.WeightStoreAddress, Keys: f.standins.Keys, OperatorKey: operatorKey,
	}
	for i, n := range f.nodes {
		zone := devfleet.Zones[i%len(devfleet.Zones)]
		f.Ready.Nodes = append(f.Ready.Nodes, ReadyNode{
			Name: fmt.Sprintf("node%d", i), Address: n.Address(), AdminAddress: n.AdminAddress(), AvailabilityZone: zone.Name,
		})
	}
	for _, u := range f.standins.Register.Upstreams {
		r := ReadyUpstream{Name: u.Name, Kind: u.Kind, Service: u.Service, Address: u.Address, AvailabilityZone: u.AvailabilityZone}
		if len(u.Models) > 0 {
			r.Model = u.Models[0]
		}
		f.Ready.Upstreams = append(f.Ready.Upstreams, r)
	}
}

// applySampleConfiguration applies the sample configuration and waits until it is in force on all nodes and they know each
// other.
func (f *Fleet) applySampleConfiguration() error {
	deadline := time.Now().Add(readyTimeout)
	var err error
	for time.Now().Before(deadline) {
		if err = f.postConfiguration(); err == nil {
			break
		}
		time.Sleep(pollInterval)
	}
	if err != nil {
		return fmt.Errorf("applying the sample configuration: %w", err)
	}
	for time.Now().Before(deadline) {
		if f.allNodesConfigured() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("the sample configuration is not in force on all nodes, or they do not all know each other, after %s", readyTimeout)
}

// postConfiguration applies the sample register and rules through the first node.
func (f *Fleet) postConfiguration() error {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	if err := enc.Encode(f.standins.Register); err != nil {
		return err
	}
	body.WriteString("---\n")
	if err := enc.Encode(f.standins.Rules); err != nil {
		return err
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+f.Ready.Nodes[0].AdminAddress+"/v1/admin/apply", &body)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+f.Ready.OperatorKey)
	r.Header.Set("Idempotency-Key", "dev-sample-configuration")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("POST /v1/admin/apply: status %s: %s", response.Status, text)
	}
	return nil
}

// allNodesConfigured reports whether each node has a configuration in force and sees all nodes as live members.
func (f *Fleet) allNodesConfigured() bool {
	for _, n := range f.nodes {
		if n.Board().Config.Value().Version == 0 || len(n.Board().Members.Value().Live) < len(f.nodes) {
			return false
		}
	}
	return true
}

// nodesEnded returns a channel that is closed once all nodes have ended; an error of one node ends the others.
func (f *Fleet) nodesEnded() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		_ = f.nodeGroup.Wait()
		close(done)
	}()
	return done
}

// Close drains all nodes and stops the stand-ins.
func (f *Fleet) Close() error {
	f.stop()
	err := f.nodeGroup.Wait()
	if closeErr := f.standins.Close(); err == nil {
		err = closeErr
	}
	return err
}

package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"path/filepath"
	"time"

	"trefoilplank.example/pkg/adapter/engine"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/vmlist"
	"trefoilplank.example/pkg/adapter/weights"
	"trefoilplank.example/pkg/burn"
	"trefoilplank.example/pkg/controller/admission"
	"trefoilplank.example/pkg/controller/batch"
	"trefoilplank.example/pkg/controller/claims"
	"trefoilplank.example/pkg/controller/confsync"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/controller/idempotency"
	"trefoilplank.example/pkg/controller/lease"
	"trefoilplank.example/pkg/controller/limits"
	"trefoilplank.example/pkg/controller/membership"
	"trefoilplank.example/pkg/controller/quarantine"
	"trefoilplank.example/pkg/controller/reconcile"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/controller/vms"
	drainplan "trefoilplank.example/pkg/decision/drain"
	leasedecision "trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/gateway"
	"trefoilplank.example/pkg/gateway/tlsfiles"
	"trefoilplank.example/pkg/operator"
	"trefoilplank.example/pkg/operator/status"
)

// build creates the node's controllers, gateway and operator interface, and registers their peer methods.
func (n *Node) build() error {
	if err := n.buildPeers(); err != nil {
		return err
	}
	n.buildLinks()
	if n.settings.TLSCert != "" {
		files, err := tlsfiles.Load(n.settings.TLSCert, n.settings.TLSKey)
		if err != nil {
			return err
		}
		n.tls = files.Config()
	}
	n.store = store.NewClient(n.settings.Store, store.Options{})
	self := n.memberRecord()
	n.lease = lease.New(n.store, n.board, self, n.leaseParams())
	n.members = membership.New(membership.Options{Store: n.store, Board: n.board, Peers: n.peerClient, Self: self, Seeds: n.settings.Join,
		CacheFile: n.cacheFile(), Log: n.decisionLog})
	if err := n.peerServer.Register("Membership", n.members.Receiver()); err != nil {
		return err
	}
	n.config = confsync.New(n.store, n.board, n.peerClient, n.settings.Name)
	n.config.Log = n.decisionLog
	if err := n.peerServer.Register("Config", n.config.Receiver()); err != nil {
		return err
	}
	if err := n.buildVMs(); err != nil {
		return err
	}
	n.buildReconcile()
	n.burn = burn.NewRecorder(&n.board.Config, time.Now)
	if err := n.buildServing(); err != nil {
		return err
	}
	return n.buildOperator()
}

// cacheFile returns the path of the file that keeps the known peers across restarts; empty on VMs without a disk.
func (n *Node) cacheFile() string {
	if n.settings.DataDir == "" {
		return ""
	}
	return filepath.Join(n.settings.DataDir, "peers.json")
}

// leaseParams returns the lease times. Renewing after a third of the duration allows two lost renewals in a row.
func (n *Node) leaseParams() leasedecision.Params {
	p := leasedecision.Default
	p.Duration = n.settings.LeaseDuration
	p.Renew = p.Duration / 3
	p.Margin = p.Duration / 30
	return p
}

// buildPeers creates the server and the client for calls between nodes.
func (n *Node) buildPeers() error {
	s := n.settings
	server := peer.NewServer(s.PeerSecret, nil)
	options := peer.ClientOptions{
		Self: s.Name, Server: server, Secret: s.PeerSecret, Resolve: membership.Resolver(n.board),
		Observe: func(node string, answered bool) { n.members.ObserveCall(node, answered) },
		LocalIP: n.peers.Addr().(*net.TCPAddr).IP,
	}
	if s.PeerTLSCert != "" {
		config, err := peer.LoadTLS(s.PeerTLSCert, s.PeerTLSKey, s.PeerTLSCA)
		if err != nil {
			return err
		}
		server = peer.NewServer(s.PeerSecret, config)
		options.Server, options.TLS = server, config
	}
	n.peerServer, n.peerClient = server, peer.NewClient(options)
	return nil
}

// buildServing creates what serves the requests of callers, from the rate limits to the gateway.
func (n *Node) buildServing() (err error) {
	name := n.settings.Name
	n.limits, err = limits.New(limits.Options{
		Self: name, Board: n.board, Peers: n.peerClient, Registrar: n.peerServer, Log: n.decisionLog,
	})
	if err != nil {
		return err
	}
	n.upstreamCalls = service.New(n.links)
	n.invoker = engine.New(n.upstreamCalls)
	n.quarantine, err = quarantine.New(quarantine.Options{Self: name, Board: n.board, Peers: n.peerClient, Store: n.store, Explain: n.decisionLog}, n.peerServer)
	if err != nil {
		return err
	}
	if err := n.buildKeys(); err != nil {
		return err
	}
	if err := n.buildBatch(); err != nil {
		return err
	}
	n.observer = upstreams.New(upstreams.Options{
		Self: name, Board: n.board, Prober: &upstreams.HTTPProber{Client: n.links.HTTPClient()}, Log: n.decisionLog,
		// A closure, since admission is built later: it needs the observer for the upstreams' health.
		Runs: func(upstream string) int { return n.admission.Runs(upstream) },
	})
	n.reporter = reconcile.NewReporter(n.reconcile, n.peerClient, n.observer)
	if err := n.peerServer.Register("Reconcile", n.reconcile.Receiver()); err != nil {
		return err
	}
	n.admission, err = admission.New(admission.Options{
		Self: name, Board: n.board, Peers: n.peerClient, Registrar: n.peerServer, Log: n.decisionLog, Batch: n.batch,
		Observer: n.observer,
	})
	if err != nil {
		return err
	}
	servers := drain.NewServers()
	n.gateway = gateway.New(gateway.Options{
		Gate: servers.Gate, DrainPlan: func() drainplan.Plan { return n.drainer.Plan() },
		Node: name, Board: n.board, Slots: n.admission, Invoker: n.invoker, Limiter: n.limits, Quarantine: n.quarantine,
		Idempotency: n.idempotency, Claims: n.claims, Explain: n.decisionLog, Objectives: n.burn, AddressTTL: n.settings.AddressTTL,
	})
	n.drainer = drain.New(drain.Options{
		Board: n.board, AddressesValidUntil: n.gateway.AddressesValidUntil, AddressTTL: n.settings.AddressTTL,
		Servers: servers, Relayed: func() int64 { return n.links.RelayedForOthers() }, Timeout: n.settings.DrainTimeout,
	})
	files := n.batch.Handler()
	for _, pattern := range []string{"/v1/files", "/v1/files/", "/v1/batches", "/v1/batches/"} {
		n.gateway.Mount(pattern, files)
	}
	return nil
}

// buildVMs creates the controller of the platform's VM list, if there is one.
func (n *Node) buildVMs() error {
	if n.settings.VMList == "" {
		return nil
	}
	list := vmlist.New(n.settings.VMList, n.board, nil)
	n.vms = vms.New(vms.Options{Self: n.settings.Name, Board: n.board, Peers: n.peerClient, List: list})
	return n.peerServer.Register("VMs", n.vms.Receiver())
}

// buildReconcile creates the controller that orders engines to load and unload models.
func (n *Node) buildReconcile() {
	options := reconcile.Options{
		Node: n.settings.Name, Board: n.board, Store: n.store, Engines: reconcile.NewHTTPEngines(), Explain: n.decisionLog,
		LeaseDuration: n.settings.LeaseDuration, Peers: n.peerClient,
		PollNow: func(upstream string) { n.observer.PollNow(upstream) },
	}
	if n.settings.WeightStore != "" {
		options.Weights = weights.New(n.settings.WeightStore, time.Now)
	}
	n.reconcile = reconcile.New(options)
}

// buildKeys creates the controllers of idempotency keys, which recognise a request that is sent again.
func (n *Node) buildKeys() (err error) {
	n.idempotency, err = idempotency.New(idempotency.Options{Self: n.settings.Name, Board: n.board, Peers: n.peerClient}, n.peerServer)
	if err != nil {
		return err
	}
	n.claims, err = claims.New(claims.Options{Self: n.settings.Name, Board: n.board, Peers: n.peerClient, Store: n.store}, n.peerServer)
	return err
}

// buildBatch creates the controller of batch jobs.
func (n *Node) buildBatch() (err error) {
	n.batch, err = batch.New(batch.Options{
		Node: n.settings.Name, Store: n.store, Board: n.board, Invoker: n.invoker, Resumer: n.invoker, Quarantine: n.quarantine,
		Peers: n.peerClient, Explain: n.decisionLog, Lease: n.leaseParams(),
		// A closure, since admission is built later: it takes batch items from this controller.
		Owns: func(upstream string) bool { return n.admission.Owns(upstream) },
	})
	if err != nil {
		return err
	}
	return n.peerServer.Register("Batch", n.batch.Receiver())
}

// buildOperator creates the operators' interface, both its HTTP handler and its peer methods.
func (n *Node) buildOperator() error {
	digest := sha256.Sum256([]byte(n.settings.OperatorKey))
	n.configChanges = operator.NewConfigChanges(n.board, time.Now)
	options := operator.Options{
		ConfigChanges: n.configChanges, Node: n.settings.Name, Board: n.board, Config: n.config, Peers: n.peerClient, Explain: n.decisionLog, Burn: n.burn,
		KeyDigests: []string{hex.EncodeToString(digest[:])}, Ready: n.checkReady,
		Drain:     func() { go func() { _ = n.drainer.Drain(context.Background()) }() },
		Providers: []status.Provider{n.members, n.reconcile, n.admission, n.batch},
	}
	n.operator = operator.New(options)
	return operator.NewLocalNode(options).Register(n.peerServer)
}

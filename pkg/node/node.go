package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"trefoilplank.example/api"
	"trefoilplank.example/pkg/adapter/engine"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/adapter/weights"
	"trefoilplank.example/pkg/batch/handler"
	"trefoilplank.example/pkg/blackboard"
	"trefoilplank.example/pkg/burn"
	"trefoilplank.example/pkg/controller/admission"
	"trefoilplank.example/pkg/controller/batch"
	"trefoilplank.example/pkg/controller/confsync"
	"trefoilplank.example/pkg/controller/lease"
	"trefoilplank.example/pkg/controller/limits"
	"trefoilplank.example/pkg/controller/membership"
	"trefoilplank.example/pkg/controller/quarantine"
	"trefoilplank.example/pkg/controller/reconcile"
	"trefoilplank.example/pkg/controller/upstreams"
	leasedecision "trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/gateway"
	"trefoilplank.example/pkg/operator"
	"trefoilplank.example/pkg/operator/status"
)

const (
	// explainEntries bounds the decision log; at about 300 bytes an entry it takes 6 MB.
	explainEntries = 20_000
	// headerTimeout bounds the time in which a client sends its request header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time that a connection stays open between requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request header.
	maxHeaderBytes = 64 << 10
)

// Node is one running node.
type Node struct {
	settings Settings
	board    *blackboard.Board
	log      *explain.Log

	callers, operators, peers net.Listener

	store      *store.Client
	peerServer *peer.Server
	peerClient *peer.Client
	lease      *lease.Controller
	members    *membership.Controller
	config     *confsync.Controller
	limits     *limits.Controller
	admission  *admission.Controller
	invoker    *engine.Client
	quarantine *quarantine.Controller
	batch      *batch.Controller
	observer   *upstreams.Observer
	reconcile  *reconcile.Controller
	gateway    *gateway.Gateway
	burn       *burn.Recorder
	operator   http.Handler

	// left is set once the node accepts no callers any more.
	left atomic.Bool
}

// New opens the node's listeners and builds its parts. The settings must have passed Check.
func New(s Settings) (*Node, error) {
	n := &Node{settings: s, board: blackboard.New(), log: explain.NewLog(s.Name, explainEntries, time.Now)}
	if err := n.listen(); err != nil {
		n.closeListeners()
		return nil, err
	}
	if err := n.build(); err != nil {
		n.closeListeners()
		return nil, err
	}
	return n, nil
}

func (n *Node) listen() error {
	var errs []error
	for _, l := range []struct {
		flag, address string
		listener      *net.Listener
	}{
		{"listen", n.settings.Listen, &n.callers},
		{"admin-listen", n.settings.AdminListen, &n.operators},
		{"peer-listen", n.settings.PeerListen, &n.peers},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			errs = append(errs, fmt.Errorf("--%s: %w", l.flag, err))
			continue
		}
		*l.listener = listener
	}
	return errors.Join(errs...)
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callers, n.operators, n.peers} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Address returns the IP:port for callers.
func (n *Node) Address() string { return n.callers.Addr().String() }

// AdminAddress returns the IP:port for operators.
func (n *Node) AdminAddress() string { return n.operators.Addr().String() }

// Board returns the node's observations.
func (n *Node) Board() *blackboard.Board { return n.board }

// record describes this node to others.
func (n *Node) record() leasedecision.Record {
	return leasedecision.Record{
		Name: n.settings.Name, AvailabilityZone: n.settings.AvailabilityZone, Region: n.settings.Region,
		Address: n.Address(), AdminAddress: n.AdminAddress(), PeerAddress: n.peers.Addr().String(),
		Incarnation: time.Now().UnixNano(),
	}
}

func (n *Node) build() error {
	if err := n.buildPeers(); err != nil {
		return err
	}
	n.store = store.NewClient(n.settings.Store, store.Options{})
	self := n.record()
	n.lease = lease.New(n.store, n.board, self, leasedecision.Default)
	n.members = membership.New(membership.Options{Store: n.store, Board: n.board, Peers: n.peerClient, Self: self})
	if err := n.peerServer.Register("Membership", n.members.Receiver()); err != nil {
		return err
	}
	n.config = confsync.New(n.store, n.board, n.peerClient, n.settings.Name)
	if err := n.peerServer.Register("Config", n.config.Receiver()); err != nil {
		return err
	}
	n.buildReconcile()
	n.burn = burn.NewRecorder(&n.board.Config, time.Now)
	if err := n.buildServing(); err != nil {
		return err
	}
	return n.buildOperator()
}

func (n *Node) buildPeers() error {
	s := n.settings
	server := peer.NewServer(s.PeerSecret, nil)
	options := peer.ClientOptions{
		Self: s.Name, Server: server, Secret: s.PeerSecret, Resolve: membership.Resolve(n.board),
		Observe: func(node string, answered bool) { n.members.Observe(node, answered) },
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

func (n *Node) buildServing() (err error) {
	name := n.settings.Name
	n.limits, err = limits.New(limits.Options{
		Self: name, Board: n.board, Peers: n.peerClient, Registrar: n.peerServer, Log: n.log,
	})
	if err != nil {
		return err
	}
	n.invoker = engine.New(service.New())
	n.quarantine, err = quarantine.New(quarantine.Options{Self: name, Board: n.board, Peers: n.peerClient, Explain: n.log}, n.peerServer)
	if err != nil {
		return err
	}
	if err := n.buildBatch(); err != nil {
		return err
	}
	n.observer = upstreams.New(upstreams.Options{Self: name, Board: n.board, Prober: &upstreams.HTTPProber{Client: http.DefaultClient}, Log: n.log})
	n.admission, err = admission.New(admission.Options{
		Self: name, Board: n.board, Peers: n.peerClient, Registrar: n.peerServer, Log: n.log, Batch: n.batch,
		Observer: n.observer,
	})
	if err != nil {
		return err
	}
	n.gateway = gateway.New(gateway.Options{
		Node: name, Board: n.board, Slots: n.admission, Invoker: n.invoker, Limiter: n.limits, Quarantine: n.quarantine,
		Explain: n.log, AddressTTL: n.settings.AddressTTL,
	})
	files := handler.New(handler.Options{Store: n.store, Rules: n.rules, Canceller: n.batch})
	for _, pattern := range []string{"/v1/files", "/v1/files/", "/v1/batches", "/v1/batches/"} {
		n.gateway.Mount(pattern, files)
	}
	return nil
}

func (n *Node) buildReconcile() {
	options := reconcile.Options{
		Node: n.settings.Name, Board: n.board, Store: n.store, Engines: reconcile.NewHTTPEngines(), Explain: n.log,
	}
	if n.settings.WeightStore != "" {
		options.Weights = weights.New(n.settings.WeightStore, time.Now)
	}
	n.reconcile = reconcile.New(options)
}

func (n *Node) rules() api.Rules { return n.board.Config.Value().Rules }

func (n *Node) buildBatch() (err error) {
	n.batch, err = batch.New(batch.Options{
		Node: n.settings.Name, Store: n.store, Board: n.board, Invoker: n.invoker, Quarantine: n.quarantine,
		Peers: n.peerClient, Explain: n.log, LeaseNumber: leaseNumber,
	})
	if err != nil {
		return err
	}
	return n.peerServer.Register("Batch", n.batch.Receiver())
}

// leaseNumber reads the fencing token of a lease object.
func leaseNumber(value []byte) (int64, error) {
	var r leasedecision.Record
	err := json.Unmarshal(value, &r)
	return r.Token, err
}

func (n *Node) buildOperator() error {
	digest := sha256.Sum256([]byte(n.settings.OperatorKey))
	options := operator.Options{
		Node: n.settings.Name, Board: n.board, Config: n.config, Peers: n.peerClient, Explain: n.log, Burn: n.burn,
		KeyDigests: []string{hex.EncodeToString(digest[:])}, Ready: n.ready,
		Providers: []status.Provider{n.reconcile},
	}
	n.operator = operator.New(options)
	return operator.NewLocal(options).Register(n.peerServer)
}

var errDraining = errors.New("the node is draining")

// ready returns nil while the node takes new callers.
func (n *Node) ready() error {
	if n.board.Draining.Value() {
		return errDraining
	}
	select {
	case <-n.config.Ready():
		return nil
	default:
		return errors.New("no configuration is known yet")
	}
}

// Run serves until ctx ends; then it drains, which takes at most the drain timeout, and stops.
func (n *Node) Run(ctx context.Context) error {
	// Controllers outlive ctx, since requests in progress need them while the node drains.
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	for name, run := range map[string]func(context.Context) error{
		"lease": n.lease.Run, "membership": n.members.Run, "config": n.config.Run,
		"limits": n.limits.Run, "admission": n.admission.Run, "batch": n.batch.Run,
		"upstreams": n.observer.Run, "reconcile": func(ctx context.Context) error { n.reconcile.Run(ctx); return nil },
	} {
		group.Go(func() error { return ignoreEnd(working, name, run(working)) })
	}
	callers, operators := n.server(n.gateway), n.server(n.operator)
	group.Go(func() error { return closed(callers.Serve(n.callers)) })
	group.Go(func() error { return closed(operators.Serve(n.operators)) })
	group.Go(func() error { return closed(n.peerServer.Serve(n.peers)) })
	klog.InfoS("Node serves", "node", n.settings.Name, "address", n.Address(), "adminAddress", n.AdminAddress())
	select {
	case <-ctx.Done():
	case <-working.Done():
	}
	n.drain(callers)
	stop()
	_ = operators.Close()
	_ = n.lease.Release(context.WithoutCancel(ctx))
	_ = n.peerServer.Close()
	n.peerClient.Close()
	return group.Wait()
}

// ignoreEnd drops the error of a controller that ended because the node stops.
func ignoreEnd(ctx context.Context, name string, err error) error {
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("%s: %w", name, err)
}

func closed(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: klog.NewStandardLogger("WARNING"),
	}
}

// drain takes the node out of address answers, waits until the answers given have run out and ends the requests in progress.
func (n *Node) drain(callers *http.Server) {
	n.board.Draining.Set(true)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "Drain ran out of time; requests in progress are cut", "node", n.settings.Name, "requests", n.gateway.Active())
		_ = callers.Close()
	}
	n.left.Store(true)
	klog.InfoS("Node drained", "node", n.settings.Name)
}

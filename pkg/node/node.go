package node

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/engine"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/service"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/blackboard"
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
	"trefoilplank.example/pkg/controller/uplink"
	"trefoilplank.example/pkg/controller/upstreams"
	"trefoilplank.example/pkg/controller/vms"
	budgetdecision "trefoilplank.example/pkg/decision/callerbudget"
	leasedecision "trefoilplank.example/pkg/decision/lease"
	"trefoilplank.example/pkg/explain"
	"trefoilplank.example/pkg/gateway"
	"trefoilplank.example/pkg/gateway/earlyerror"
	"trefoilplank.example/pkg/operator"
)

// explainEntries is the number of entries that the decision log keeps; at about 600 bytes an entry they take 12 MB.
const explainEntries = 20_000

// Node is one node: its settings, listeners and controllers.
type Node struct {
	settings    Settings
	board       *blackboard.Board
	decisionLog *explain.Log

	// callers, operators and peers are the listeners for each group of clients.
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
	claims     *claims.Controller
	// idempotency is the owner of a part of the idempotency keys used on all nodes.
	idempotency *idempotency.Controller
	// links makes the connections to upstreams, and dialUpstream, if set, those of this node's own.
	links        *uplink.Links
	dialUpstream uplink.DialFunc
	// upstreamCalls makes all calls to upstreams and holds their connections.
	upstreamCalls *service.Client
	observer      *upstreams.Observer
	reconcile     *reconcile.Controller
	reporter      *reconcile.Reporter
	// vms is nil when the platform has no VM list.
	vms           *vms.Controller
	gateway       *gateway.Gateway
	burn          *burn.Recorder
	operator      http.Handler
	configChanges *operator.ConfigChanges

	drainer *drain.Controller
	// tls is nil when callers and operators are served without TLS.
	tls *tls.Config
}

// Option changes how a node is created.
type Option func(*Node)

// WithUpstreamDialer sets how the node connects to upstreams, in place of TCP connections that detect unreachable peers.
func WithUpstreamDialer(d uplink.DialFunc) Option {
	return func(n *Node) { n.dialUpstream = d }
}

// New opens the node's listeners and creates its controllers; Run starts them. The settings must have passed Check.
func New(s Settings, options ...Option) (*Node, error) {
	n := &Node{settings: s, board: blackboard.New(), decisionLog: explain.NewLog(s.Name, explainEntries, time.Now)}
	for _, change := range options {
		change(n)
	}
	n.publishVars()
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

// listen opens the listeners for callers, operators and peers, and returns the errors of all that fail.
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

// memberRecord returns this node's membership record, which describes it to other nodes.
func (n *Node) memberRecord() leasedecision.Record {
	return leasedecision.Record{
		Name: n.settings.Name, AvailabilityZone: n.settings.AvailabilityZone, Region: n.settings.Region,
		Address: n.Address(), AdminAddress: n.AdminAddress(), PeerAddress: cmp.Or(n.settings.PeerAdvertise, n.peers.Addr().String()),
		Incarnation: time.Now().UnixNano(),
	}
}

var errDraining = errors.New("the node is draining")

// checkReady returns nil if the node accepts new callers: it does not drain and has a configuration.
func (n *Node) checkReady() error {
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

// Run serves until ctx ends, an operator drains the node or a controller fails. When ctx ends it first drains, which
// takes at most the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	// The controllers run on after ctx has ended, since requests in progress need them while the node drains.
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	for name, run := range n.controllers() {
		group.Go(func() error { return controllerError(working, name, run(working)) })
	}
	operatorServers := drain.NewServers()
	callers := gateway.NewServer(n.gateway)
	operators := gateway.NewServer(operatorServers.Gate.Handler(n.operator, operator.RefuseStopping(n.settings.Name)))
	budget := n.newCallerBudget()
	forCallers, forOperators := budget.Group(budgetdecision.Callers), budget.Group(budgetdecision.Operators)
	callerListener := earlyerror.WrapListener(callers, n.withTLS(forCallers.Listener(n.callers)), n.settings.Name)
	operatorListener := earlyerror.WrapListener(operators, n.withTLS(forOperators.Listener(n.operators)), n.settings.Name)
	forCallers.Serve(callers)
	forOperators.Serve(operators)
	group.Go(func() error { return controllerError(working, "callers", budget.Run(working)) })
	group.Go(func() error { return serverError(n.drainer.Serve(callers, callerListener, callers.Serve)) })
	group.Go(func() error { return serverError(operatorServers.Serve(operators, operatorListener, operators.Serve)) })
	group.Go(func() error {
		return serverError(n.peerServer.Serve(budget.Group(budgetdecision.Internal).Listener(n.peers)))
	})
	klog.InfoS("Node serves", "node", n.settings.Name, "address", n.Address(), "adminAddress", n.AdminAddress(),
		"peerAddress", n.memberRecord().PeerAddress, "peerListens", n.peers.Addr().String())
	select {
	case <-ctx.Done():
		if n.drainer.Drain(working) != nil { // A controller has failed meanwhile.
			n.drainer.Abort()
		}
	case <-n.drainer.Done():
	case <-working.Done(): // A controller has failed.
		n.drainer.Abort()
	}
	stopOperators(operatorServers)
	n.leaveFleet()
	stop()
	err := group.Wait()
	_ = n.lease.Release(context.WithoutCancel(ctx))
	n.close()
	return err
}

// controllers returns the Run functions of the node's controllers by name.
func (n *Node) controllers() map[string]func(context.Context) error {
	loops := map[string]func(context.Context) error{
		"lease": n.lease.Run, "membership": n.members.Run, "config": n.config.Run, "limits": n.limits.Run,
		"admission": n.admission.Run, "batch": n.batch.Run, "upstreams": n.observer.Run,
		"idempotency": n.idempotency.Run, "quarantine": n.quarantine.Run, "changes": n.configChanges.Run,
		"reports":   n.reporter.Run,
		"links":     n.followRegister,
		"reconcile": func(ctx context.Context) error { n.reconcile.Run(ctx); return nil },
		"peers":     func(ctx context.Context) error { <-ctx.Done(); return n.peerServer.Close() },
	}
	if n.vms != nil {
		loops["vms"] = n.vms.Run
	}
	return loops
}

// withTLS wraps a listener for callers or operators in TLS if certificate files are set.
func (n *Node) withTLS(l net.Listener) net.Listener {
	if n.tls == nil {
		return l
	}
	return tls.NewListener(l, n.tls)
}

// operatorStopTime is how long calls of operators that are in progress may take once the node is drained, such as the change of a
// configuration while the store is slow.
const operatorStopTime = 5 * time.Second

// stopOperators closes the servers for operators. Calls that are in progress are answered.
func stopOperators(s *drain.Servers) {
	_ = s.Refuse() // An error means that a listener is closed.
	s.Stop(time.Now().Add(operatorStopTime), nil)
}

// leaveTimeout bounds the calls by which a drained node informs other nodes before it stops.
const leaveTimeout = 3 * time.Second

// leaveFleet hands the error-budget counters over to another node, so that a graceful restart loses none, and
// announces to the other nodes that this node stops.
func (n *Node) leaveFleet() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.burn.HandOver(ctx, n.peerClient, n.board.Members.Value()); err != nil && !errors.Is(err, burn.ErrNoSuccessor) {
		klog.ErrorS(err, "Error-budget counters were not handed over", "node", n.settings.Name)
	}
	n.members.Leave(ctx)
}

// close ends the connections to other nodes and to upstreams.
func (n *Node) close() {
	n.peerClient.Close()
	n.upstreamCalls.Close()
}

// controllerError returns the error of a controller with its name, or nil if it ended because ctx did: the node stops.
func controllerError(ctx context.Context, name string, err error) error {
	if err == nil || ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("%s: %w", name, err)
}

// serverError returns the error of a server, or nil if it ended because it was closed.
func serverError(err error) error {
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

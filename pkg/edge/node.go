package edge

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"trefoilplank.example/pkg/adapter/dial"
	"trefoilplank.example/pkg/adapter/peer"
	"trefoilplank.example/pkg/adapter/store"
	"trefoilplank.example/pkg/controller/callerbudget"
	"trefoilplank.example/pkg/controller/customerlimits"
	"trefoilplank.example/pkg/controller/customers"
	"trefoilplank.example/pkg/controller/drain"
	"trefoilplank.example/pkg/controller/failedruns"
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/controller/loadshare"
	"trefoilplank.example/pkg/controller/mirror"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/controller/storecalls"
	"trefoilplank.example/pkg/controller/streamversions"
	"trefoilplank.example/pkg/controller/uplink"
	decision "trefoilplank.example/pkg/decision/callerbudget"
	"trefoilplank.example/pkg/decision/dispatch"
	drainplan "trefoilplank.example/pkg/decision/drain"
	"trefoilplank.example/pkg/decision/quota"
	"trefoilplank.example/pkg/decision/rendezvous"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/forward"
	"trefoilplank.example/pkg/listjob"
	"trefoilplank.example/pkg/version"
	"trefoilplank.example/pkg/wait"
)

const (
	// memoryFraction of the memory limit is where the runtime starts to collect garbage and return memory more
	// aggressively.
	memoryFraction = 0.6
	// gcPercent is how far the heap may grow, in percent, before a collection.
	gcPercent = 100
	// storeTimeout limits one call to the store, which answers within milliseconds, or a fraction of a second when
	// slow.
	storeTimeout = 1200 * time.Millisecond
	// watchTimeout is how long a watch may deliver nothing before it counts as broken: longer than one watch call to
	// the platform's store waits.
	watchTimeout = 35 * time.Second
	// absenceGrace is how long after a store outage an upstream stays listed although its entry expired during the
	// outage; running upstreams register again within this time.
	absenceGrace = 2200 * time.Millisecond
	// lapseTime is the shortest interruption of a watch, from its detection, in which the entry of a running upstream can
	// expire: entries expire after three heartbeats of silence, and a broken watch is detected within 1.2 s.
	lapseTime = time.Second
	// watchSilence is how long a working watch of the upstreams delivers nothing at most: the platform's watch calls return
	// within 0.7 s, and count as broken after 1.2 s.
	watchSilence = 1200 * time.Millisecond
	// headerBytes, headerTimeout and idleTimeout limit callers' connections. net/http fixes them before a
	// configuration is known, so they are higher than what configurations set.
	headerBytes   = 64 << 10
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	// shortTimeout limits the requests for readiness, addresses and metrics.
	shortTimeout = 5 * time.Second
)

// Platform translates between a node and a platform.
type Platform interface {
	// PaceStoreCalls sets the gate that admits the calls to the store; it is called before StoreTransport.
	PaceStoreCalls(*storecalls.Gate)
	// StoreTransport returns the transport that carries the store client's calls to the platform's store.
	StoreTransport(address string) http.RoundTripper
	// HeaderNames returns the names of request and response headers.
	HeaderNames() forward.HeaderNames
	// ConfigPrefix is the key prefix of configurations in the store. Configuration decodes the one in force from the
	// objects under it; false means that there is none.
	ConfigPrefix() string
	Configuration(objects map[string]store.Object) (routing.Configuration, bool, error)
	// UpstreamPrefix is the key prefix under which upstreams register themselves. Upstreams decodes their entries; it
	// returns an error for each entry that describes no usable upstream.
	UpstreamPrefix() string
	Upstreams(objects map[string]store.Object) ([]dispatch.Upstream, []error)
	// CallerHandler returns the handler of callers' requests: it serves job requests with Jobs and passes all others
	// to Forward.
	CallerHandler(c CallerOptions) http.Handler
	// ReadyHandler returns a handler that answers whether the node accepts callers' requests.
	ReadyHandler(ready func() bool) http.Handler
	// DirectoryHandler returns a handler that answers with the addresses of nodes for callers in an availability zone,
	// and with the time for which callers may cache them.
	DirectoryHandler(addresses func(availabilityZone string) (list []string, ttl time.Duration)) http.Handler
	// Retirements lists the VMs to be emptied; ReportRetired reports one as emptied.
	Retirements(ctx context.Context, s store.Store) ([]string, error)
	ReportRetired(ctx context.Context, node string) error
}

// CallerOptions configures the handler of callers' requests.
type CallerOptions struct {
	Table   func() *routing.Table
	Forward http.Handler
	Jobs    *listjob.Controller
	// Customers checks the keys of requests.
	Customers *customers.Checker
	// Draining reports whether the node drains; responses then close their connections. Admit reports whether the node accepts a call
	// whose caller waits until deadline; RefuseDraining answers one that it does not accept.
	Draining       func() bool
	Admit          func(deadline time.Time) bool
	RefuseDraining func(w http.ResponseWriter)
	Log            *eventlog.Log
}

// Node is a running node.
type Node struct {
	settings Settings
	platform Platform
	log      *eventlog.Log

	store         *store.Client
	storeCalls    *storecalls.Gate
	peerServer    *peer.Server
	peers         *peer.Client
	peerListen    net.Listener
	fleet         *fleet.Fleet
	mirror        *mirror.Mirror
	exchange      *loadshare.Exchange
	limits        *customerlimits.Controller
	placer        *placer.Placer
	failedRuns    *failedruns.Controller
	streams       *streamversions.Controller
	links         *uplink.Links
	client        *forward.Client
	forwarder     *forward.Forwarder
	jobs          *listjob.Controller
	callerHandler http.Handler
	metrics       *metrics.Set
	callers       *callerbudget.Budget

	table    atomic.Pointer[routing.Table]
	draining atomic.Bool
	// copyInForce is set if the table is that of the copy of the configuration that applyConfiguration was last called with.
	copyInForce bool
	// retiring are the nodes on VMs to be emptied, as this node last read them from the store.
	retiring atomic.Pointer[[]string]
	// plan is the schedule of the drain, or nil while the node does not drain.
	plan atomic.Pointer[drainplan.Plan]
	// servers are those for callers, internal the ones for readiness, addresses and metrics.
	servers  *drain.Servers
	internal []*http.Server
	// stopped is closed when the service has stopped, handedOver when the jobs are handed over.
	stopOnce            sync.Once
	stopped, handedOver chan struct{}
	mu                  sync.Mutex
	invalidEntries      map[string]string
	// oldAddressesEnd is until when callers may use answers with an earlier TTL.
	oldAddressesEnd time.Time
}

// Option changes how a node is created.
type Option func(*options)

type options struct{ dialUpstream uplink.DialFunc }

// WithUpstreamDialer sets how the node connects to upstreams, in place of TCP connections that detect unreachable peers.
func WithUpstreamDialer(d uplink.DialFunc) Option {
	return func(o *options) { o.dialUpstream = d }
}

// New creates a node and opens its port for other nodes.
func New(s Settings, p Platform, log *eventlog.Log, changes ...Option) (*Node, error) {
	var o options
	for _, change := range changes {
		change(&o)
	}
	limit := int64(s.MemoryMB) << 20
	debug.SetMemoryLimit(int64(memoryFraction * float64(limit)))
	debug.SetGCPercent(gcPercent)
	n := &Node{settings: s, platform: p, log: log, metrics: metrics.NewSet(), invalidEntries: map[string]string{}, servers: drain.NewServers(), stopped: make(chan struct{}), handedOver: make(chan struct{})}
	var err error
	if n.peerListen, err = listenInRange(s.IP, s.InternalPorts); err != nil {
		return nil, err
	}
	n.storeCalls = storecalls.New(storecalls.Options{Urgency: storeUrgency(p.ConfigPrefix()), Returned: func() { n.exchange.Request(context.Background()) }, Log: log, Metrics: n.metrics})
	p.PaceStoreCalls(n.storeCalls)
	n.buildCallerBudget()
	n.store = store.NewClient(s.StoreAddress, store.Options{
		Transport: p.StoreTransport(s.StoreAddress), CallTimeout: storeTimeout, WatchTimeout: watchTimeout,
	})
	n.fleet = fleet.New(n.store, fleet.Member{
		Name: s.Name, AvailabilityZone: s.AvailabilityZone, Region: s.Region, CallerAddress: s.CallerAddress,
		PeerAddress: n.peerListen.Addr().String(), Incarnation: time.Now().UnixNano(), Weight: s.CPUShare * s.Cores,
	}, log)
	n.buildPeers()
	n.placer = placer.New(s.AvailabilityZone, log)
	n.buildLinks(o)
	n.client = forward.NewClient(p.HeaderNames(), n.links, n.placer.Announce, n.mayUse)
	n.failedRuns = failedruns.New(failedruns.Options{
		Node: s.Name, Incarnation: n.fleet.Self().Incarnation, Store: n.store, Peers: n.peers, Others: n.failedRunHolders, Owner: n.owner,
		Exchange: func() { n.exchange.Request(context.Background()) }, Connect: n.links.TryConnect, Log: log, Metrics: failedruns.NewMetrics(n.metrics),
	})
	n.streams = streamversions.New(streamversions.Options{
		Peers: n.peers, Hubs: func() []string { return n.exchange.OtherHubs() }, Exchange: func() { n.exchange.Request(context.Background()) },
		Store: n.store, IsHub: func() bool { return n.exchange.IsHub() }, FirstStart: s.FirstStart,
		Joined:  func() bool { return n.exchange.Joined() },
		Asked:   func() bool { return n.exchange.MayBeHub(streamversions.LookupNodes) },
		ListAge: func() time.Duration { return n.mirror.Age(p.UpstreamPrefix()) },
		Log:     log, Metrics: streamversions.NewMetrics(n.metrics),
	})
	n.buildMirror()
	n.registerKeyMetrics()
	return n, n.buildServing(limit)
}

// listenInRange listens on the first free port of a range.
func listenInRange(ip string, ports []int) (net.Listener, error) {
	var errs []error
	for port := ports[0]; port <= ports[1]; port++ {
		l, err := dial.ListenConfig().Listen(context.Background(), "tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
		if err == nil {
			return l, nil
		}
		errs = append(errs, err)
	}
	return nil, Error.Wrap(errors.Join(errs...))
}

func (n *Node) buildPeers() {
	// The platform gives nodes no shared secret; this one only prevents nodes of other deployments from joining by
	// mistake.
	sum := sha256.Sum256([]byte("trefoilplank " + n.settings.StoreAddress))
	secret := hex.EncodeToString(sum[:])
	n.peerServer = peer.NewServer(secret, nil)
	n.peers = peer.NewClient(peer.ClientOptions{
		Self: n.settings.Name, Server: n.peerServer, Secret: secret, Resolve: n.fleet.PeerAddress,
	})
}

func (n *Node) buildMirror() {
	n.mirror = mirror.New(mirror.Options{Store: n.store, Peers: n.peers, Others: n.fleet.OtherLive, Log: n.log},
		mirror.Prefix{Name: n.platform.ConfigPrefix(), Handle: n.applyConfiguration, ConfirmAfterStall: true, InForce: n.configurationInForce(), MaxAge: n.confirmAge()},
		mirror.Prefix{Name: n.platform.UpstreamPrefix(), Handle: n.applyUpstreams, AbsenceGrace: absenceGrace, LapseTime: lapseTime, SuccessorWatches: true, Silence: watchSilence, ConfirmAfterStall: true},
		mirror.Prefix{Name: fleet.Prefix, Handle: n.fleet.SetRegistered},
		mirror.Prefix{Name: failedruns.Prefix, Handle: n.failedRuns.SetStored},
	)
}

func (n *Node) buildServing(limit int64) error {
	requests := forward.NewMetrics(n.metrics)
	n.metrics.NewGauge("trefoilplank_requests_out_of_zone_total", n.placer.OutOfZone)
	n.jobs = listjob.New(listjob.Options{
		Store: n.store, Peers: n.peers, Fleet: n.fleet, Placer: n.placer, Client: n.client, Table: n.table.Load,
		AwaitTable: n.awaitTable, FailedRuns: n.failedRuns, Diagnose: n.links.DiagnoseSilent, MemoryBytes: limit, Readable: seconds(n.settings.ReadableSeconds), Log: n.log, Metrics: listjob.NewMetrics(n.metrics),
		IsHub: func() bool { return n.exchange.IsHub() }, HubSweeps: func() bool { return n.exchange.HubSweeps() },
		Hub:        func() string { return n.exchange.Hub() },
		HubWaiting: func(ctx context.Context) (map[string]int64, error) { return n.exchange.HubWaiting(ctx) },
		ReserveWaiting: func(ctx context.Context, r quota.Reservation) (int64, error) {
			return n.exchange.ReserveWaiting(ctx, r)
		},
	})
	ages, applyAges := n.ageExchange()
	n.limits = customerlimits.New(customerlimits.Options{
		Table: n.table.Load, Nodes: n.fleet.Size, ExchangeNow: func(ctx context.Context) bool { return n.exchange.ExchangeNow(ctx) },
		Window: seconds(n.settings.LimitWindowSeconds), Log: n.log, Metrics: customerlimits.NewMetrics(n.metrics),
	})
	n.exchange = loadshare.New(loadshare.Options{
		Fleet: n.fleet, Peers: n.peers, OwnLoads: n.placer.OwnLoads, Wants: n.jobs.Wants, ApplyTotals: n.placer.ApplyTotals, Grants: n.placer.Grants,
		Evidence: n.placer.Evidence, AddEvidence: n.placer.AddEvidence, Outliers: n.placer.Outliers, Speeds: n.placer, HubIntroduced: n.handleIntroduction,
		Revisions: n.mirror.Revisions, HubAnswered: n.followHub, HubLate: n.mirror.FollowedLate, FailedRuns: n.failedRuns, Streams: n.streams, Announced: n.placer, Draining: n.draining.Load, Log: n.log,
		Metrics: loadshare.NewMetrics(n.metrics), Waiting: n.jobs.Waiting, Retiring: n.knownRetiring, CutOff: n.links.CutOff,
		Ages: ages, ApplyAges: applyAges, Customers: n.limits, Store: n.storeCalls,
		EntriesAge: func() time.Duration { return n.mirror.Age(fleet.Prefix) },
	})
	perCustomer := customers.NewMetrics(n.metrics)
	checker := customers.New(customers.Options{
		Table: n.table.Load, KeysAge: n.keysAge, Strict: n.settings.StrictRevocation, Revocation: milliseconds(n.settings.RevocationMS), Metrics: perCustomer,
	})
	callers := CallerOptions{Table: n.table.Load, Jobs: n.jobs, Customers: checker, Draining: n.draining.Load, Admit: n.admitCall, RefuseDraining: func(w http.ResponseWriter) { n.forwarder.RefuseDraining(w) }, Log: n.log}
	n.forwarder = forward.New(forward.Options{
		HeaderNames: n.platform.HeaderNames(), Placer: n.placer, Client: n.client, FailedRuns: n.failedRuns, Streams: n.streams, Table: n.table.Load, Draining: n.draining.Load,
		Customers: checker, CustomerMetrics: perCustomer, Limiter: n.limits,
		DrainPlan:    n.drainPlan,
		RequestSlots: n.exchange.ExchangeNow, AwaitUpstreams: n.awaitUpstreams,
		BatchHandler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.callerHandler.ServeHTTP(w, r) }),
		Log:          n.log, Metrics: requests,
	})
	callers.Forward = n.forwarder
	n.callerHandler = n.platform.CallerHandler(callers)
	return errors.Join(
		n.peerServer.Register("Mirror", n.mirror.Receiver()),
		n.peerServer.Register("Load", n.exchange.Receiver()),
		n.peerServer.Register("Jobs", n.jobs.Receiver()),
		n.peerServer.Register("FailedRuns", n.failedRuns.Receiver()),
		n.peerServer.Register("StreamVersions", n.streams.Receiver()),
	)
}

// followHub watches the store if this node is the hub. Otherwise it follows the hub's copies, which saves the store
// one watch per node; the next hub watches the upstreams itself too.
func (n *Node) followHub(hub string, revisions map[string]int64) {
	n.mirror.SetSuccessor(n.exchange.IsSuccessor())
	if hub == n.settings.Name {
		n.mirror.WatchStore(context.Background())
		return
	}
	n.mirror.FollowNode(context.Background(), hub, revisions)
}

// handleIntroduction reads the copies of a hub that introduced itself, if this node could not learn the other nodes
// from the store.
func (n *Node) handleIntroduction(hub fleet.Member) {
	if n.fleet.AddIntroduced(hub) {
		go n.mirror.ReadMissing(context.Background(), hub.Name)
	}
}

// join registers the node and reads the list of nodes, so that it knows the hub before it makes any other call to the
// store.
func (n *Node) join(ctx context.Context) error {
	n.readMembers(store.WithStale(ctx))
	registered := make(chan error, 1)
	go func() { registered <- n.fleet.Register(ctx) }()
	if !n.fleet.OtherStartedBefore(time.Now().Add(-joinTime)) {
		// The deployment starts. A list that lacks some nodes would divide it between several hubs.
		_ = wait.Sleep(ctx, joinTime)
		n.readMembers(store.WithFresh(ctx))
	}
	go func() {
		if err := n.exchange.Run(ctx); err != nil && ctx.Err() == nil {
			n.log.Notice("load exchange ended", "error", err)
		}
	}()
	return <-registered
}

// readMembers reads the list of nodes from the store, if it is available.
func (n *Node) readMembers(ctx context.Context) {
	page, err := store.ListAll(ctx, n.store, fleet.Prefix)
	if err != nil {
		return // The exchange starts without other nodes; the store watches log that the store is unavailable.
	}
	objects := map[string]store.Object{}
	for _, o := range page.Objects {
		objects[o.Key] = o
	}
	n.fleet.SetRegistered(objects)
}

// joinTime is how long a node that starts together with the others waits for their entries; all VMs of a deployment
// start within 0.3 s.
const joinTime = 600 * time.Millisecond

// failedRunHolders returns the other live nodes in the order in which they are told of failed runs: by rendezvous
// hashing, so that the records of all nodes do not lie at the same few ones.
func (n *Node) failedRunHolders() []string {
	weights := n.fleet.Weights()
	delete(weights, n.settings.Name)
	return rendezvous.Ranked(n.settings.Name, weights)
}

// owner returns the live node that decides on a key for all nodes.
func (n *Node) owner(key string) string {
	if ranked := rendezvous.Ranked(key, n.fleet.Weights()); len(ranked) > 0 {
		return ranked[0]
	}
	return n.settings.Name
}

// Reload applies changed settings. Addresses can't change after the start.
func (n *Node) Reload(s Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.oldAddressesEnd = n.addressesEnd(time.Now())
	n.settings.DrainSeconds, n.settings.AddressTTL, n.settings.ReadableSeconds = s.DrainSeconds, s.AddressTTL, s.ReadableSeconds
	n.log.Notice("settings reloaded", "drain_seconds", s.DrainSeconds, "address_ttl_seconds", s.AddressTTL)
}

// Ready reports whether the node accepts callers' requests.
func (n *Node) Ready() bool { return !n.draining.Load() && n.table.Load() != nil }

// Run serves until ctx ends, then drains and leaves the fleet.
func (n *Node) Run(ctx context.Context) error {
	n.log.Notice("node starting", "version", version.String("trefoilplank"), "pid", os.Getpid(), "zone", n.settings.AvailabilityZone,
		"peer_address", n.peerListen.Addr().String(), "caller_address", n.settings.CallerAddress)
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { return n.peerServer.Serve(n.callers.Group(decision.Internal).Listener(n.peerListen)) })
	for name, run := range map[string]func(context.Context) error{
		"mirror": n.mirror.Run, "jobs": n.jobs.Run, "join": n.join, "failed runs": n.failedRuns.Run, "versions": n.streams.Run,
		"retirement": n.watchRetirements, "introductions": n.exchange.RunIntroductions, "registration": n.fleet.KeepRegistered, "removals": n.exchange.RunRemovals,
		"keys": n.watchKeys, "callers": n.callers.Run,
	} {
		group.Go(func() error {
			if err := run(working); err != nil && working.Err() == nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			return nil
		})
	}
	if err := n.listen(group); err != nil {
		stop()
		return errors.Join(err, n.peerServer.Close())
	}
	select {
	case <-ctx.Done():
		n.shutDown(working)
	case <-working.Done(): // A part of the node has failed; the requests in progress end with an answer.
		_ = n.servers.Refuse() // An error means that a listener is closed.
		n.servers.Stop(time.Now(), nil)
	}
	stop()
	n.close()
	err := group.Wait()
	n.log.Notice("node stopped", "error", err)
	return err
}

func (n *Node) close() {
	for _, s := range n.internal {
		_ = s.Close()
	}
	_ = n.peerServer.Close()
	n.peers.Close()
	n.client.Close()
}

// listen starts the servers for callers, readiness, addresses and metrics.
func (n *Node) listen(group *errgroup.Group) error {
	for _, l := range []struct {
		class   decision.Class
		address string
		handler http.Handler
		server  func(*http.Server)
	}{
		{decision.Callers, n.settings.CallerAddress, n.servers.Gate.Handler(n.awaitConfiguration(n.callerHandler), http.HandlerFunc(n.refuseStopping)), func(s *http.Server) {
			s.MaxHeaderBytes, s.ReadHeaderTimeout, s.IdleTimeout = headerBytes, headerTimeout, idleTimeout
		}},
		{decision.Readiness, n.settings.ReadyAddress, n.platform.ReadyHandler(n.Ready), setShortTimeouts},
		{decision.Directory, n.settings.DirectoryAddress, n.platform.DirectoryHandler(n.addresses), setShortTimeouts},
		{decision.Metrics, n.settings.MetricsAddress, n.metricsHandler(), setShortTimeouts},
	} {
		if l.address == "" {
			continue
		}
		listener, err := dial.ListenConfig().Listen(context.Background(), "tcp", l.address)
		if err != nil {
			return Error.Wrap(err)
		}
		server := &http.Server{Handler: l.handler, ErrorLog: discardLog}
		l.server(server)
		listener = n.account(l.class, server, listener)
		if l.class == decision.Callers {
			group.Go(func() error { return n.servers.Serve(server, listener, server.Serve) })
			continue
		}
		n.internal = append(n.internal, server)
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return nil
}

// metricsHandler serves the metrics as text, and expvar's variables as JSON.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func setShortTimeouts(s *http.Server) {
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout, s.MaxHeaderBytes = shortTimeout, shortTimeout, shortTimeout, 8<<10
}

// addresses returns the addresses for a caller in an availability zone, and how long it may cache them.
func (n *Node) addresses(availabilityZone string) ([]string, time.Duration) {
	return n.fleet.CallerAddresses(availabilityZone), n.addressTTL()
}

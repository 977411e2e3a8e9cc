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
	"trefoilplank.example/pkg/controller/fleet"
	"trefoilplank.example/pkg/controller/loadshare"
	"trefoilplank.example/pkg/controller/mirror"
	"trefoilplank.example/pkg/controller/placer"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/routing"
	"trefoilplank.example/pkg/eventlog"
	"trefoilplank.example/pkg/forward"
	"trefoilplank.example/pkg/listjob"
	"trefoilplank.example/pkg/version"
	"trefoilplank.example/pkg/wait"
)

const (
	// memoryPart of the limit is where the runtime begins to collect and to return memory eagerly.
	memoryPart = 0.6
	// collectPercent lets the heap grow by this part before a collection.
	collectPercent = 100
	// storeTimeout bounds one call to the store, which answers in milliseconds and in a fraction of a second when slow.
	storeTimeout = 1200 * time.Millisecond
	// watchSilence is how long a watch may report nothing: one wait of the platform with some room.
	watchSilence = 35 * time.Second
	// absenceGrace is how long after the store's return entries of upstreams that lapsed meanwhile count as lapsed only.
	absenceGrace = 2200 * time.Millisecond
	// drainMargin is kept free at the end of the time that a stopping process has.
	drainMargin = 800 * time.Millisecond
	// leaveTimeout bounds the last calls of a stopping node.
	leaveTimeout = 500 * time.Millisecond
	// headerBytes, headerTimeout and idleTimeout bound callers. The library fixes them before a configuration is known, so
	// they lie above what configurations name.
	headerBytes   = 64 << 10
	headerTimeout = 5 * time.Second
	idleTimeout   = 90 * time.Second
	// quickTimeout bounds the calls for readiness and addresses.
	quickTimeout = 5 * time.Second
)

// Platform translates between the product and a platform.
type Platform interface {
	// StoreTransport carries the calls of the store client to the platform's store.
	StoreTransport(address string) http.RoundTripper
	// HeaderNames names the headers of requests.
	HeaderNames() forward.HeaderNames
	// ConfigPrefix is where configurations lie in the store, and Configuration decodes the one in force from what lies
	// there; false when there is none.
	ConfigPrefix() string
	Configuration(objects map[string]store.Object) (routing.Configuration, bool, error)
	// UpstreamPrefix is where upstreams register themselves, and Upstreams decodes their entries. Entries that name no
	// usable upstream come back as errors.
	UpstreamPrefix() string
	Upstreams(objects map[string]store.Object) ([]dispatch.Upstream, []error)
	// CallerHandler serves callers: the calls on jobs by Jobs, everything else by Forward.
	CallerHandler(c Callers) http.Handler
	// ReadyHandler answers whether the node takes callers.
	ReadyHandler(ready func() bool) http.Handler
	// DirectoryHandler answers with addresses for callers of an availability zone.
	DirectoryHandler(addresses func(availabilityZone string) (list []string, ttl time.Duration)) http.Handler
	// Retirements lists the VMs that are to be emptied, and Retired reports one as emptied.
	Retirements(ctx context.Context, s store.Store) ([]string, error)
	Retired(ctx context.Context, node string) error
}

// Callers is what a caller handler serves with.
type Callers struct {
	Table   func() *routing.Table
	Forward http.Handler
	Jobs    *listjob.Controller
	// Closing is set while the node drains: answers end their connections.
	Closing func() bool
	Log     *eventlog.Log
}

// Node is one running node.
type Node struct {
	settings Settings
	platform Platform
	log      *eventlog.Log

	store      *store.Client
	peerServer *peer.Server
	peers      *peer.Client
	peerListen net.Listener
	fleet      *fleet.Fleet
	mirror     *mirror.Mirror
	exchange   *loadshare.Exchange
	placer     *placer.Placer
	client     *forward.Client
	forwarder  *forward.Forwarder
	jobs       *listjob.Controller
	callers    http.Handler
	metrics    *metrics.Set

	table    atomic.Pointer[routing.Table]
	draining atomic.Bool
	// closes is when a drain ends, or nil.
	closes   atomic.Pointer[time.Time]
	active   atomic.Int64
	servers  []*http.Server
	mu       sync.Mutex
	rejected map[string]string
}

// New builds a node and opens its port for other nodes.
func New(s Settings, p Platform, log *eventlog.Log) (*Node, error) {
	limit := int64(s.MemoryMB) << 20
	debug.SetMemoryLimit(int64(memoryPart * float64(limit)))
	debug.SetGCPercent(collectPercent)
	n := &Node{settings: s, platform: p, log: log, metrics: metrics.NewSet(), rejected: map[string]string{}}
	var err error
	if n.peerListen, err = listenFirst(s.IP, s.InternalPorts); err != nil {
		return nil, err
	}
	n.store = store.NewClient(s.StoreAddress, store.Options{
		Transport: p.StoreTransport(s.StoreAddress), CallTimeout: storeTimeout, WatchSilence: watchSilence,
	})
	n.fleet = fleet.New(n.store, fleet.Member{
		Name: s.Name, AvailabilityZone: s.AvailabilityZone, Region: s.Region, CallerAddress: s.CallerAddress,
		PeerAddress: n.peerListen.Addr().String(), Incarnation: time.Now().UnixNano(), Weight: s.CPUShare * s.Cores,
	}, log)
	n.buildPeers()
	n.placer = placer.New(s.AvailabilityZone, log)
	n.client = forward.NewClient(p.HeaderNames())
	n.buildMirror()
	return n, n.buildServing(limit)
}

// listenFirst listens at the first free port of a range.
func listenFirst(ip string, ports []int) (net.Listener, error) {
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
	// The platform gives nodes no common secret; this one only keeps nodes of other deployments from joining by mistake.
	sum := sha256.Sum256([]byte("trefoilplank " + n.settings.StoreAddress))
	secret := hex.EncodeToString(sum[:])
	n.peerServer = peer.NewServer(secret, nil)
	n.peers = peer.NewClient(peer.ClientOptions{
		Self: n.settings.Name, Server: n.peerServer, Secret: secret, Resolve: n.fleet.PeerAddress,
	})
}

func (n *Node) buildMirror() {
	n.mirror = mirror.New(mirror.Options{Store: n.store, Peers: n.peers, Others: n.fleet.Others, Log: n.log},
		mirror.Prefix{Name: n.platform.ConfigPrefix(), Handle: n.takeConfiguration},
		mirror.Prefix{Name: n.platform.UpstreamPrefix(), Handle: n.takeUpstreams, AbsenceGrace: absenceGrace},
		mirror.Prefix{Name: fleet.Prefix, Handle: n.fleet.Handle},
	)
}

func (n *Node) buildServing(limit int64) error {
	requests := forward.NewMetrics(n.metrics)
	n.jobs = listjob.New(listjob.Options{
		Store: n.store, Peers: n.peers, Fleet: n.fleet, Placer: n.placer, Client: n.client, Table: n.table.Load,
		MemoryBytes: limit, Readable: seconds(n.settings.ReadableSeconds), Log: n.log, Metrics: listjob.NewMetrics(n.metrics),
	})
	n.exchange = loadshare.New(loadshare.Options{
		Fleet: n.fleet, Peers: n.peers, Mine: n.placer.Mine, Wants: n.jobs.Wants, Take: n.placer.Take, Grants: n.placer.Grants,
		Evidence: n.placer.Evidence, Learn: n.placer.Report, Outliers: n.placer.Outliers, Introduced: n.introduced,
		Revisions: n.mirror.Revisions, Heard: n.follow, Draining: n.draining.Load, Log: n.log,
		Metrics: loadshare.NewMetrics(n.metrics),
	})
	callers := Callers{Table: n.table.Load, Jobs: n.jobs, Closing: n.draining.Load, Log: n.log}
	n.forwarder = forward.New(forward.Options{
		HeaderNames: n.platform.HeaderNames(), Placer: n.placer, Client: n.client, Table: n.table.Load, Draining: n.draining.Load,
		DrainEnd:     n.closesAt,
		RequestSlots: n.exchange.Now,
		BatchHandler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { n.callers.ServeHTTP(w, r) }),
		Log:          n.log, Metrics: requests,
	})
	callers.Forward = n.forwarder
	n.callers = n.platform.CallerHandler(callers)
	return errors.Join(
		n.peerServer.Register("Mirror", n.mirror.Receiver()),
		n.peerServer.Register("Load", n.exchange.Receiver()),
		n.peerServer.Register("Jobs", n.jobs.Receiver()),
	)
}

// follow spares the store the watches of this node while another node's copies can be followed.
func (n *Node) follow(hub string, revisions map[string]int64) {
	if hub == n.settings.Name {
		n.mirror.Watch(context.Background())
		return
	}
	n.mirror.Follow(context.Background(), hub, revisions)
}

// introduced reads the copies of a hub that made itself known, if this node could not learn the others from the store.
func (n *Node) introduced(hub fleet.Member) {
	if n.fleet.Introduce(hub) {
		go n.mirror.Introduce(context.Background(), hub.Name)
	}
}

// join registers the node and learns the others, so that it knows the hub before it asks the store for anything else.
func (n *Node) join(ctx context.Context) error {
	registered := make(chan error, 1)
	go func() { registered <- n.fleet.Register(ctx) }()
	for begun := time.Now(); ctx.Err() == nil && time.Since(begun) < joinTime; {
		page, err := store.ListAll(ctx, n.store, fleet.Prefix)
		if err != nil {
			break // The exchange begins alone, and the watches log that the store is away.
		}
		objects := map[string]store.Object{}
		for _, o := range page.Objects {
			objects[o.Key] = o
		}
		n.fleet.Handle(objects)
		if n.fleet.Settled(time.Now().Add(-joinTime)) {
			break
		}
		_ = wait.Sleep(ctx, joinTime)
	}
	go func() {
		if err := n.exchange.Run(ctx); err != nil && ctx.Err() == nil {
			n.log.Notice("load exchange ended", "error", err)
		}
	}()
	return <-registered
}

// joinTime is how long a node that starts together with the others waits for their entries; all VMs of a deployment start
// within 0.3 s.
const joinTime = 600 * time.Millisecond

// takeConfiguration puts a configuration in force unless a newer one is.
func (n *Node) takeConfiguration(objects map[string]store.Object) {
	c, ok, err := n.platform.Configuration(objects)
	if err != nil {
		n.log.Notice("configuration can't be read; the one in force stays", "error", err)
		return
	}
	if !ok {
		return
	}
	old := n.table.Load()
	if old != nil && c.Version <= old.Version {
		return
	}
	n.table.Store(routing.NewTable(c))
	n.log.Notice("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services))
}

// takeUpstreams hands the registered upstreams to placement. Faulty entries are logged once each.
func (n *Node) takeUpstreams(objects map[string]store.Object) {
	list, faults := n.platform.Upstreams(objects)
	n.mu.Lock()
	seen := map[string]string{}
	for _, err := range faults {
		text := err.Error()
		seen[text] = text
		if n.rejected[text] == "" {
			n.log.Notice("upstream entry names no usable upstream", "error", text)
		}
	}
	n.rejected = seen
	n.mu.Unlock()
	n.placer.SetUpstreams(list)
}

// Reload takes changed settings. Addresses stay as they were at the start.
func (n *Node) Reload(s Settings) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settings.DrainSeconds, n.settings.AddressTTL, n.settings.ReadableSeconds = s.DrainSeconds, s.AddressTTL, s.ReadableSeconds
	n.log.Notice("settings reloaded", "drain_seconds", s.DrainSeconds, "address_ttl_seconds", s.AddressTTL)
}

// bounds returns the settings that may change while the node runs.
func (n *Node) bounds() (drain, addressTTL time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return seconds(n.settings.DrainSeconds), seconds(n.settings.AddressTTL)
}

// Ready reports whether the node takes callers.
func (n *Node) Ready() bool { return !n.draining.Load() && n.table.Load() != nil }

// Run serves until ctx ends, then drains and leaves.
func (n *Node) Run(ctx context.Context) error {
	n.log.Notice("node starts", "version", version.String("trefoilplank"), "pid", os.Getpid(), "zone", n.settings.AvailabilityZone,
		"peer_address", n.peerListen.Addr().String(), "caller_address", n.settings.CallerAddress)
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { return n.peerServer.Serve(n.peerListen) })
	for name, run := range map[string]func(context.Context) error{
		"mirror": n.mirror.Run, "jobs": n.jobs.Run, "join": n.join,
		"retirement": n.watchRetirements, "introductions": n.exchange.Introductions, "registration": n.fleet.KeepRegistered, "removals": n.exchange.Removals,
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
		n.drain(working)
	case <-working.Done():
	}
	stop()
	n.close()
	err := group.Wait()
	n.log.Notice("node stopped", "error", err)
	return err
}

func (n *Node) close() {
	for _, s := range n.servers {
		_ = s.Close() // What was open was given its time in drain.
	}
	_ = n.peerServer.Close()
	n.peers.Close()
	n.client.Close()
}

// listen opens the ports for callers.
func (n *Node) listen(group *errgroup.Group) error {
	for _, l := range []struct {
		address string
		handler http.Handler
		server  func(*http.Server)
	}{
		{n.settings.CallerAddress, n.counted(n.callers), func(s *http.Server) {
			s.MaxHeaderBytes, s.ReadHeaderTimeout, s.IdleTimeout = headerBytes, headerTimeout, idleTimeout
		}},
		{n.settings.ReadyAddress, n.platform.ReadyHandler(n.Ready), quick},
		{n.settings.DirectoryAddress, n.platform.DirectoryHandler(n.addresses), quick},
		{n.settings.MetricsAddress, n.metricsHandler(), quick},
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
		n.servers = append(n.servers, server)
		group.Go(func() error {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return nil
}

// metricsHandler serves counters and histograms as text, and the library's variables as JSON.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

func quick(s *http.Server) {
	s.ReadTimeout, s.WriteTimeout, s.IdleTimeout, s.MaxHeaderBytes = quickTimeout, quickTimeout, quickTimeout, 8<<10
}

// counted counts the requests in progress.
func (n *Node) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.active.Add(1)
		defer n.active.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// addresses answers a caller that asks where to connect.
func (n *Node) addresses(availabilityZone string) ([]string, time.Duration) {
	_, ttl := n.bounds()
	return n.fleet.Addresses(availabilityZone), ttl
}

// longKeep times the named time is how long some callers keep an address answer.
const longKeep = 3

// stillAddressed returns how long a draining node must expect new callers: those that keep the last answer with its address.
// It is bounded so that a half of the drain is left for their requests.
func stillAddressed(ttl, limit time.Duration) time.Duration {
	return min(longKeep*ttl+drainMargin, limit/2)
}

// closesAt returns when a drain closes what is still open, or zero.
func (n *Node) closesAt() time.Time {
	if closes := n.closes.Load(); closes != nil {
		return *closes
	}
	return time.Time{}
}

// drain takes the node out of the address answers, hands its jobs on and waits for what is in progress. Callers that still
// hold the address are served meanwhile, on connections that end with their answers.
func (n *Node) drain(ctx context.Context) {
	begun := time.Now()
	limit, ttl := n.bounds()
	limit -= drainMargin
	closes := begun.Add(limit)
	n.closes.Store(&closes)
	n.draining.Store(true)
	n.log.Notice("node drains", "limit_ms", limit.Milliseconds(), "active", n.active.Load())
	call, cancel := context.WithTimeout(ctx, limit/2)
	go func() {
		defer cancel()
		if err := n.fleet.Drain(call); err != nil {
			n.log.Notice("drain not told to the store", "error", err)
		}
		n.jobs.HandOver(call)
	}()
	addressed := stillAddressed(ttl, limit)
	ended := time.After(limit)
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
draining:
	for {
		select {
		case <-ended:
			break draining
		case <-tick.C:
			if time.Since(begun) > addressed && n.active.Load() == 0 && call.Err() != nil {
				break draining
			}
		}
	}
	leave, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(leave) // What did not end in time is closed with the node.
	}
	if err := n.fleet.Leave(leave); err != nil {
		n.log.Notice("node not removed from the store", "error", err)
	}
	n.log.Notice("node drained", "ms", time.Since(begun).Milliseconds(), "active", n.active.Load())
}

package blackboard

import (
	"time"

	"trefoilplank.example/api"
)

// Member is a node as this node sees it.
type Member struct {
	Name             string
	AvailabilityZone string
	Region           string
	// Address, AdminAddress and PeerAddress are IP:port.
	Address      string
	AdminAddress string
	PeerAddress  string
	// Incarnation is larger after each restart of the node.
	Incarnation int64
	// Draining is set when the node accepts no new callers.
	Draining bool
	// ConfigVersion is the version in force on the node when it was last heard.
	ConfigVersion int64
	LastHeard     time.Time
}

// Members is the view of live nodes, by name, without those that are believed dead.
type Members struct {
	Self string
	Live map[string]Member
}

// UpstreamHealth is the passive judgement on an upstream.
type UpstreamHealth string

// Health states of an upstream.
const (
	HealthReady   UpstreamHealth = "ready"
	HealthSlow    UpstreamHealth = "slow-start"
	HealthEjected UpstreamHealth = "ejected"
	HealthLeaving UpstreamHealth = "leaving"
)

// UpstreamStatus is what is known of an upstream on this node.
type UpstreamStatus struct {
	Health UpstreamHealth
	// Since is when Health last changed, and Reason why.
	Since  time.Time
	Reason string
	// Running, Waiting and Slots are the upstream's own load report, which lags; ReportedAt is its time.
	Running, Waiting, Slots int
	KVUsed, KVCapacity      int
	ReportedAt              time.Time
	// LoadedModels are the models that the engine reports as loaded; nil when not yet read.
	LoadedModels []string
}

// Lease is this node's own lease in the store.
type Lease struct {
	// Number is the fencing token; larger for each new holder or restart.
	Number int64
	// Deadline is the local monotonic time before which effects are allowed.
	Deadline time.Time
}

// VMState is a VM's state in the platform's list.
type VMState string

// VM states.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMLost    VMState = "lost"
)

// Board is the set of sections of one node. The comment on each section names its only writer.
type Board struct {
	// Config is the configuration in force; written by the configuration controller.
	Config Section[api.Config]
	// Members is written by the membership controller.
	Members Section[Members]
	// Upstreams is written by the upstream observer, keyed by upstream name.
	Upstreams Section[map[string]UpstreamStatus]
	// Lease is written by the lease controller.
	Lease Section[Lease]
	// VMs is the platform's VM list, keyed by VM name; written by the VM list poller.
	VMs Section[map[string]VMState]
	// Draining is set by the drain controller.
	Draining Section[bool]
}

// New returns an empty board.
func New() *Board { return &Board{} }

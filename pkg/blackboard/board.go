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
	// Draining is set when the node accepts no new callers because it is about to stop.
	Draining bool
	// ConfigVersion is the configuration version in force on the node at LastHeard.
	ConfigVersion int64
	LastHeard     time.Time
}

// Members is this node's view of the nodes. Live holds, by name, those that are not considered dead; Self is this
// node's name.
type Members struct {
	Self string
	Live map[string]Member
}

// UpstreamHealth is an upstream's health, derived passively from the results of the requests sent to it.
type UpstreamHealth string

// Health states of an upstream.
const (
	HealthReady     UpstreamHealth = "ready"
	HealthSlowStart UpstreamHealth = "slow-start"
	HealthEjected   UpstreamHealth = "ejected"
	HealthLeaving   UpstreamHealth = "leaving"
)

// UpstreamStatus is what this node knows of an upstream.
type UpstreamStatus struct {
	Health UpstreamHealth
	// Since is when Health last changed, and Reason why it did.
	Since  time.Time
	Reason string
	// Running, Waiting, Slots, KVUsed and KVCapacity are the upstream's own load report, which lags; ReportedAt is its
	// time.
	Running, Waiting, Slots int
	KVUsed, KVCapacity      int
	ReportedAt              time.Time
	// LoadedModels are the models that the engine reports as loaded; nil before its first report.
	LoadedModels []string
	// ModelVersions holds the versions of the loaded models by name, without those that are being loaded anew; nil if the
	// engine does not report them.
	ModelVersions map[string]string
}

// Lease is this node's own lease in the store.
type Lease struct {
	// Token is the fencing token; it grows with each new holder and each restart.
	Token int64
	// Deadline is the local monotonic time until which the node may act on the lease.
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

// Board holds the observations of one node, in sections. Each section has only one writer, which its comment names.
type Board struct {
	// Config is the configuration in force, written by the configuration controller.
	Config Section[api.Config]
	// Members is the view of the live nodes, written by the membership controller.
	Members Section[Members]
	// Upstreams is the state of each upstream by name, written by the upstream observer.
	Upstreams Section[map[string]UpstreamStatus]
	// Lease is this node's lease, written by the lease controller.
	Lease Section[Lease]
	// VMs holds the states of the VMs that the platform's VM list shows as not live, by VM name, written by the VM
	// controller.
	VMs Section[map[string]VMState]
	// Draining says whether this node drains, written by the drain controller.
	Draining Section[bool]
}

// New returns a board whose sections were never set.
func New() *Board { return &Board{} }

package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const (
	// reconcilePeriod is the seconds between two reconciler passes without a change, and reportPeriod the seconds between
	// two reports of an owner whose engines do not change (package controller/reconcile).
	reconcilePeriod, reportPeriod = 30, 300
	// slotsPerReplica is the number of slots of one replica, and queueCapacity the largest number of requests that wait
	// for one (decision/admission).
	slotsPerReplica, queueCapacity = 16, 256
	// fingerprintCapacity bounds the fingerprint table of one owner, which fills within hours and stays full
	// (decision/quarantine).
	fingerprintCapacity = 50_000
	// answerRetention and claimRetention are the seconds for which idempotent answers and claims are kept.
	answerRetention, claimRetention = 15 * 60, 24 * 3600
	// claimBuckets is the number of store objects that claims are spread over.
	claimBuckets = 256
	// explainEntries is the number of entries in the decision log of a node (package node). entriesPerRequest is the
	// number of entries that placement, admission and gateway record for a request without a fault.
	explainEntries, entriesPerRequest = 20_000, 6
	// ownersPerKey is the number of nodes that hold a fingerprint or an idempotency key: its owner and the successor.
	ownersPerKey = 2
	// openJobsPerPage is the number of open jobs that a starting node lists with one read, and otherStartReads the number
	// of its other reads.
	openJobsPerPage, otherStartReads = 500, 4
	// relaysPerZone is the number of nodes of a zone that read the VM list (decision/dissemination).
	relaysPerZone = 2
	// heapGrowth is the heap size at which the Go runtime collects garbage, as a multiple of the live memory, at the
	// default of GOGC=100.
	heapGrowth = 2
)

// Row is the cost of one role on one node that has it. State is in bytes of live memory. Messages and Bytes are per
// second, in both directions. Cores is a share of one core. Reads and Writes are the calls per second of the whole fleet
// to the object API.
type Row struct {
	Role string
	// Control marks work that is done even without requests; the control bounds on processor time and bytes cover these
	// rows. The memory bound covers all rows but that of requests in flight.
	Control         bool
	State           float64
	Messages, Bytes float64
	Cores           float64
	Reads, Writes   float64
}

// Table returns the costs at a target of a node that has every role, including reconciler of one model.
func Table(t Target, s Slopes) []Row { return append(controlRows(t, s), requestRows(t, s)...) }

// relayRole names the row of the nodes that relay the VM list. Two nodes of each zone read it; the row is that of the
// first, which answers the other nodes.
const relayRole = "VM list at a zone's first relay (8 nodes have it)"

// nanosecond is one nanosecond in seconds.
const nanosecond = 1e-9

// controlRows returns the rows of work that is done even without requests.
func controlRows(t Target, s Slopes) []Row {
	loads, caches, states := s.LoadPolls.At(t.ownedUpstreams()), s.CachePolls.At(t.ownedUpstreams()), s.StatePolls.At(t.ownedUpstreams())
	polls := loads + caches + states
	pollBytes := loads*s.LoadPollBytes.Fixed + caches*s.CachePollBytes.Fixed + states*s.StatePollBytes.Fixed
	engines := t.Replicas / t.Models
	// The reconciler of a model receives reports from all nodes that own engines of the model. The node itself also
	// reports to the reconciler of each model that it owns engines of.
	reports := (t.expectedOwners(engines) + t.ownedModels()) / reportPeriod
	renewals := t.busyInstitutions() * s.RenewalCalls.Fixed
	// OpenJobBytes is a line over items, so that the bytes are those of a job of mean size.
	summaries := t.jobsPerSecond() * s.OpenJobBytes.At(t.ItemsPerDay/t.JobsPerDay)
	starts := t.startsPerSecond()
	// The first relay of a zone answers all nodes of the zone except the relays. The list has the VMs of nodes and upstreams.
	askingNodes, vms := t.Nodes/t.Zones-relaysPerZone, t.Nodes+t.Replicas
	return []Row{
		{Role: "lease and membership", Control: true, State: s.ControlState.At(t.Nodes), Messages: 4 * s.ControlCalls.Fixed,
			Bytes: s.ControlBytes.Fixed + s.ControlStoreBytes.Fixed, Cores: s.ControlCPU.At(t.Nodes),
			Reads: s.ControlReads.Fixed, Writes: t.Nodes * s.LeaseWrites.Fixed},
		{Role: "configuration", Control: true, State: s.ConfigState.At(t.Replicas), Messages: 4 * t.changesPerSecond() * s.ChangeCalls.At(t.Nodes),
			Bytes: t.changesPerSecond() * s.ChangeBytes.At(t.Nodes), Cores: t.changesPerSecond() * s.ConfigReceiveCPU.At(t.Replicas) * nanosecond,
			Reads: t.changesPerSecond() * s.ChangeReads.Fixed, Writes: t.changesPerSecond() * s.ChangeWrites.Fixed},
		{Role: "observer and admission loops", Control: true, State: s.LoopState.At(t.Replicas), Messages: 4 * s.LoopCalls.Fixed,
			Bytes: s.LoopBytes.Fixed, Cores: s.LoopCPU.At(t.Replicas)},
		{Role: "polls of owned upstreams", Control: true, Messages: 2 * polls, Bytes: pollBytes, Cores: polls * s.PollCPU.Fixed * nanosecond},
		{Role: "limit renewals", Control: true, State: t.Institutions*s.LimitState.Fixed + t.Institutions*s.LimitOwnerState.Fixed,
			Messages: 4 * renewals, Bytes: 2 * t.busyInstitutions() * s.RenewalBytes.Fixed, Cores: s.RenewalCPU.At(t.busyInstitutions())},
		{Role: "reconciler of one model", Control: true, State: engines * s.ReconcileState.Fixed, Messages: 2 * reports, Bytes: reports * s.ReportBytes.Fixed,
			Cores: (reports*s.ReportCPU.Fixed + engines/reconcilePeriod*s.ReconcileCPU.Fixed) * nanosecond},
		{Role: "VM list", Control: true, Messages: 2 * s.VMRelayCalls.Fixed, Bytes: s.VMRelayBytes.Fixed},
		{Role: relayRole, Control: true, Messages: 2 * (askingNodes*s.VMRelayCalls.Fixed + s.VMListReads.Fixed),
			Bytes: askingNodes*s.VMRelayBytes.Fixed + s.VMListReads.Fixed*s.VMListBytes.At(vms),
			Cores: s.VMListReads.Fixed * s.VMListCPU.At(vms) * nanosecond},
		{Role: "open jobs", Control: true, State: t.OpenJobs * s.OpenJobState.Fixed, Messages: t.jobsPerSecond(), Bytes: summaries,
			Cores: starts / t.Nodes * s.StartCPU.At(t.OpenJobs) * nanosecond, Reads: starts * (t.OpenJobs/openJobsPerPage + otherStartReads)},
		{Role: "burn and explain", Control: true, State: t.Institutions*s.BurnState.Fixed + explainEntries*s.EntryState.Fixed},
	}
}

// requestRows returns the rows of work that requests and batch items cause.
func requestRows(t Target, s Slopes) []Row {
	requests := t.requestsPerNode()
	tokens := t.TokensPerSecond / t.Nodes
	keyedRequests, nonIdempotent := requests*t.KeyedShare, requests*t.NonIdempotentShare
	heldClaims := t.RequestsPerSecond * t.NonIdempotentShare * claimRetention
	heldKeys := t.RequestsPerSecond * t.KeyedShare * answerRetention * ownersPerKey / t.Nodes
	messages := func(calls float64) float64 { return 4 * requests * calls }
	return []Row{
		{Role: "gateway, requests in flight", State: t.inFlightPerNode() * s.InFlightState.At(t.inFlightPerNode()), Messages: 2 * requests,
			Cores: (requests*s.GatewayCPU.Fixed + tokens*s.TokenCPU.Slope + requests*(s.BurnCPU.Fixed+entriesPerRequest*s.EntryCPU.Fixed)) * nanosecond},
		{Role: "admission", State: t.ownedUpstreams() * (s.OwnedState.At(slotsPerReplica) + queueCapacity*s.QueuedState.Fixed), Messages: messages(s.AcquireCalls.Fixed),
			Bytes: 2 * requests * s.AcquireBytes.At(t.Replicas), Cores: requests * s.AcquireCPU.At(t.Replicas) * nanosecond},
		{Role: "reports of held slots", Messages: 4 * s.HeldCalls.Fixed, Bytes: s.HeldBytes.Fixed, Cores: s.HeldCPU.Fixed},
		{Role: "limits", Messages: messages(s.LimitCalls.Fixed), Bytes: 2 * requests * s.LimitBytes.Fixed, Cores: requests * s.LimitCPU.Fixed * nanosecond},
		{Role: "fingerprints", State: fingerprintCapacity * s.SuspectState.Fixed, Messages: messages(s.CheckCalls.Fixed),
			Bytes: 2 * requests * s.CheckBytes.Fixed, Cores: requests * s.CheckCPU.Fixed * nanosecond},
		{Role: "idempotency keys", State: heldKeys * s.KeyState.Fixed, Messages: 4 * keyedRequests * s.KeyCalls.Fixed, Bytes: 2 * keyedRequests * s.KeyBytes.Fixed,
			Cores: keyedRequests * s.KeyCPU.Fixed * nanosecond},
		{Role: "claims", State: heldClaims / claimBuckets * s.ClaimState.Fixed, Messages: 6 * nonIdempotent, Bytes: nonIdempotent * s.ClaimStoreBytes.At(heldClaims),
			Cores: nonIdempotent * s.ClaimCPU.At(heldClaims) * nanosecond, Writes: t.RequestsPerSecond * t.NonIdempotentShare * s.ClaimWrites.Fixed},
		{Role: "part owner", State: t.ownedUpstreams() * s.PartState.Fixed, Cores: t.itemsPerSecond() / t.Nodes * s.ItemCPU.Fixed * nanosecond,
			Reads: t.itemsPerSecond() * s.ItemReads.Fixed, Writes: t.itemsPerSecond() * s.ItemWrites.Fixed},
	}
}

// Bound is a computed value and its limit.
type Bound struct {
	Name         string
	Value, Limit float64
	Unit         string
}

// Holds reports whether the value is within the limit.
func (b Bound) Holds() bool { return b.Value <= b.Limit }

// String returns the value and the limit with their unit.
func (b Bound) String() string {
	return fmt.Sprintf("%s: %.4g %s, limit %.4g", b.Name, b.Value, b.Unit, b.Limit)
}

// inFlightRole names the row that the memory bound leaves out.
const inFlightRole = "gateway, requests in flight"

// Bounds returns the bounds of the two-year target with the values of the rows: on the control work of one node, and on
// all calls to the object API, which sustains "several hundred" writes/s, assumed to be 300, and 2,000 reads/s.
func Bounds(rows []Row) []Bound {
	var cores, memory, bytes, reads, writes float64
	for _, r := range rows {
		if r.Control {
			cores += r.Cores
			bytes += r.Bytes
		}
		if r.Role != inFlightRole {
			memory += r.State * heapGrowth
		}
		reads += r.Reads
		writes += r.Writes
	}
	return []Bound{
		{"control-processor", 100 * cores, 1.2, "% of a core"},
		{"control-memory", memory / (1 << 20), 128, "MB"},
		{"control-bytes", bytes, 2048, "B/s"},
		{"store-reads", reads, 2000, "calls/s"},
		{"store-writes", writes, 300, "calls/s"},
	}
}

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, "role\tcontrol\tstate KB\tmessages/s\tB/s\t% of a core\tstore reads/s\tstore writes/s\t")
	for _, r := range rows {
		fmt.Fprintf(out, "%s\t%v\t%.0f\t%.2f\t%.0f\t%.3f\t%.2f\t%.2f\t\n", r.Role, r.Control, r.State/1024, r.Messages, r.Bytes, 100*r.Cores, r.Reads, r.Writes)
	}
	return out.Flush()
}

package capacity

import (
	"fmt"
	"io"
	"text/tabwriter"
)

const (
	// reconcilePeriod is the time in seconds between passes without a change, and reportPeriod that between two reports
	// of an owner whose engines do not change (package controller/reconcile).
	reconcilePeriod, reportPeriod = 30, 300
	// slots is the number of slots of one replica, and queueBound that of waiting requests (decision/admission).
	slots, queueBound = 16, 256
	// fingerprintCapacity bounds the table of one owner (decision/quarantine); it fills within hours and stays full.
	fingerprintCapacity = 50_000
	// keyLife and claimLife are the seconds that answers and claims are kept.
	keyLife, claimLife = 15 * 60, 24 * 3600
	// buckets is the number of claim objects.
	buckets = 256
	// explainEntries is the size of the decision log of a node (package node), and entriesPerRequest the decisions that
	// a request without a fault records in placement, admission and gateway.
	explainEntries, entriesPerRequest = 20_000, 6
	// holders is the number of owners of a fingerprint or an idempotency key: the owner and its successor.
	holders = 2
	// openPage is the number of open jobs in one read of a starting node, and startReads its other reads.
	openPage, startReads = 500, 4
	// relaysPerZone is the number of nodes of a zone that read the VM list (decision/dissemination).
	relaysPerZone = 2
	// heapGrowth is the memory that the Go runtime lets grow before it collects, at its default of GOGC=100, as a
	// multiple of the live memory.
	heapGrowth = 2
)

// Row is what one role takes on one node that has it. Messages and Bytes per second count both directions; Cores is a
// share of one core; Reads and Writes are calls per second to the object API by the whole fleet.
type Row struct {
	Role string
	// Control marks work that goes on without requests, which the control bounds are on. The memory bound is on all
	// roles but requests in flight.
	Control         bool
	State           float64
	Messages, Bytes float64
	Cores           float64
	Reads, Writes   float64
}

// Table returns the rows at a target. The node has every role: it also reconciles one model.
func Table(t Target, s Slopes) []Row { return append(control(t, s), path(t, s)...) }

// relayRole is the row of the nodes that read the VM list, two in each zone.
const relayRole = "VM list at a zone's first relay (8 nodes have it)"

const ns = 1e-9

func control(t Target, s Slopes) []Row {
	loads, caches, states := s.LoadPolls.At(t.owned()), s.CachePolls.At(t.owned()), s.StatePolls.At(t.owned())
	polls := loads + caches + states
	pollBytes := loads*s.LoadPollBytes.Fixed + caches*s.CachePollBytes.Fixed + states*s.StatePollBytes.Fixed
	engines := t.Replicas / t.Models
	// The reconciling node gets reports of all nodes that own engines of its model, and reports to each such node.
	reports := (t.owners(engines) + t.ownedModels()) / reportPeriod
	renewals := t.busyInstitutions() * s.RenewalCalls.Fixed
	// By a line over items, so that the bytes follow the mean job whatever the sizes of the others.
	summaries := t.jobs() * s.OpenBytes.At(t.ItemsPerDay/t.JobsPerDay)
	starts := t.starts()
	// The first relay of a zone answers all its nodes but the relays. The list has the VMs of nodes and upstreams.
	asking, vms := t.Nodes/t.Zones-relaysPerZone, t.Nodes+t.Replicas
	return []Row{
		{Role: "lease and membership", Control: true, State: s.ControlState.At(t.Nodes), Messages: 4 * s.ControlCalls.Fixed,
			Bytes: s.ControlBytes.Fixed + s.ControlStoreBytes.Fixed, Cores: s.ControlCPU.At(t.Nodes),
			Reads: s.ControlReads.Fixed, Writes: t.Nodes * s.LeaseWrites.Fixed},
		{Role: "configuration", Control: true, State: s.ConfigState.At(t.Replicas), Messages: 4 * t.changes() * s.ChangeCalls.At(t.Nodes),
			Bytes: t.changes() * s.ChangeBytes.At(t.Nodes), Cores: t.changes() * s.ReceiveCPU.At(t.Replicas) * ns,
			Reads: t.changes() * s.ChangeReads.Fixed, Writes: t.changes() * s.ChangeWrites.Fixed},
		{Role: "observer and admission loops", Control: true, State: s.LoopState.At(t.Replicas), Messages: 4 * s.LoopCalls.Fixed,
			Bytes: s.LoopBytes.Fixed, Cores: s.LoopCPU.At(t.Replicas)},
		{Role: "polls of owned upstreams", Control: true, Messages: 2 * polls, Bytes: pollBytes, Cores: polls * s.PollCPU.Fixed * ns},
		{Role: "limit renewals", Control: true, State: t.Institutions*s.LimitState.Fixed + t.Institutions*s.LimitOwnerState.Fixed,
			Messages: 4 * renewals, Bytes: 2 * t.busyInstitutions() * s.RenewalBytes.Fixed, Cores: s.RenewalCPU.At(t.busyInstitutions())},
		{Role: "reconciler of one model", Control: true, State: engines * s.ReconcileState.Fixed, Messages: 2 * reports, Bytes: reports * s.ReportBytes.Fixed,
			Cores: (reports*s.ReportCPU.Fixed + engines/reconcilePeriod*s.ReconcileCPU.Fixed) * ns},
		{Role: "VM list", Control: true, Messages: 2 * s.VMAsks.Fixed, Bytes: s.VMAskBytes.Fixed},
		{Role: relayRole, Control: true, Messages: 2 * (asking*s.VMAsks.Fixed + s.VMListReads.Fixed),
			Bytes: asking*s.VMAskBytes.Fixed + s.VMListReads.Fixed*s.VMListBytes.At(vms),
			Cores: s.VMListReads.Fixed * s.VMListCPU.At(vms) * ns},
		{Role: "open jobs", Control: true, State: t.OpenJobs * s.OpenJobState.Fixed, Messages: t.jobs(), Bytes: summaries,
			Cores: starts / t.Nodes * s.StartCPU.At(t.OpenJobs) * ns, Reads: starts * (t.OpenJobs/openPage + startReads)},
		{Role: "burn and explain", Control: true, State: t.Institutions*s.BurnState.Fixed + explainEntries*s.EntryState.Fixed},
	}
}

func path(t Target, s Slopes) []Row {
	r := t.requests()
	tokens := t.TokensPerSecond / t.Nodes
	keyed, once := r*t.KeyedShare, r*t.NonIdempotentShare
	held := t.RequestsPerSecond * t.NonIdempotentShare * claimLife
	keys := t.RequestsPerSecond * t.KeyedShare * keyLife * holders / t.Nodes
	call := func(calls float64) float64 { return 4 * r * calls }
	return []Row{
		{Role: "gateway, requests in flight", State: t.inFlight() * s.FlightState.At(t.inFlight()), Messages: 2 * r,
			Cores: (r*s.GatewayCPU.Fixed + tokens*s.TokenCPU.Slope + r*(s.BurnCPU.Fixed+entriesPerRequest*s.EntryCPU.Fixed)) * ns},
		{Role: "admission", State: t.owned() * (s.OwnedState.At(slots) + queueBound*s.QueuedState.Fixed), Messages: call(s.AcquireCalls.Fixed),
			Bytes: 2 * r * s.AcquireBytes.At(t.Replicas), Cores: r * s.PlaceCPU.At(t.Replicas) * ns},
		{Role: "reports of held slots", Messages: 4 * s.HeldCalls.Fixed, Bytes: s.HeldBytes.Fixed, Cores: s.HeldCPU.Fixed},
		{Role: "limits", Messages: call(s.LimitCalls.Fixed), Bytes: 2 * r * s.LimitBytes.Fixed, Cores: r * s.LimitCPU.Fixed * ns},
		{Role: "fingerprints", State: fingerprintCapacity * s.SuspectState.Fixed, Messages: call(s.CheckCalls.Fixed),
			Bytes: 2 * r * s.CheckBytes.Fixed, Cores: r * s.CheckCPU.Fixed * ns},
		{Role: "idempotency keys", State: keys * s.KeyState.Fixed, Messages: 4 * keyed * s.KeyCalls.Fixed, Bytes: 2 * keyed * s.KeyBytes.Fixed,
			Cores: keyed * s.KeyCPU.Fixed * ns},
		{Role: "claims", State: held / buckets * s.ClaimState.Fixed, Messages: 6 * once, Bytes: once * s.ClaimStoreBytes.At(held),
			Cores: once * s.ClaimCPU.At(held) * ns, Writes: t.RequestsPerSecond * t.NonIdempotentShare * s.ClaimWrites.Fixed},
		{Role: "part owner", State: t.owned() * s.PartState.Fixed, Cores: t.items() / t.Nodes * s.ItemCPU.Fixed * ns,
			Reads: t.items() * s.ItemReads.Fixed, Writes: t.items() * s.ItemWrites.Fixed},
	}
}

// Bound is a limit and the figure that is held against it.
type Bound struct {
	Name         string
	Value, Limit float64
	Unit         string
}

// Holds reports whether the figure is within the limit.
func (b Bound) Holds() bool { return b.Value <= b.Limit }

// String returns the bound with its figure.
func (b Bound) String() string {
	return fmt.Sprintf("%s: %.4g %s, limit %.4g", b.Name, b.Value, b.Unit, b.Limit)
}

// inFlightRole is the row whose memory is that of requests and not of control.
const inFlightRole = "gateway, requests in flight"

// Bounds returns the bounds of the two-year target: on the control work of each node and on all calls to the
// object API, which sustains "several hundred" writes/s, taken as 300, and 2,000 reads/s.
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

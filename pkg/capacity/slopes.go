package capacity

// Slopes are the measured costs. Bytes are those of live memory or of messages with TCP/IP headers, times are
// processor time in nanoseconds; the comment on each names the benchmark of this package.
type Slopes struct {
	// ControlState, ControlCPU (cores) and ControlReads (of the fleet) are of lease and membership on one node, over
	// nodes; ControlBytes, ControlCalls, ControlStoreBytes and LeaseWrites are per second and node (ControlPlane).
	ControlState, ControlCPU                                   Line
	ControlBytes, ControlCalls, ControlStoreBytes, LeaseWrites Line
	ControlReads                                               Line
	// ChangeBytes and ChangeCalls are of one change on one node, over nodes; ChangeReads and ChangeWrites are calls
	// to the store (ControlPlane).
	ChangeBytes, ChangeCalls, ChangeReads, ChangeWrites Line
	// ConfigState and ReceiveCPU are of a configuration and of one change at a receiver, over upstreams (ConfigSize,
	// ConfigReceive).
	ConfigState, ReceiveCPU Line
	// LoopState, LoopCPU (cores), LoopCalls and LoopBytes are of observer and admission loops with 16 views a second,
	// over upstreams (IdleLoops).
	LoopState, LoopCPU, LoopCalls, LoopBytes Line
	// HeldCalls, HeldBytes and HeldCPU (cores) are what the reports of 58 held slots add a second (IdleLoops).
	HeldCalls, HeldBytes, HeldCPU Line
	// VMAsks and VMAskBytes are calls and bytes a second of a node that is no relay, VMListReads the reads a second of a
	// relay, and VMListBytes and VMListCPU of one read, over VMs (VMs, VMList).
	VMAsks, VMAskBytes, VMListReads, VMListBytes, VMListCPU Line
	// LoadPollBytes, StatePollBytes, CachePollBytes and PollCPU are of one poll (Polls).
	LoadPollBytes, StatePollBytes, CachePollBytes, PollCPU Line
	// LoadPolls, CachePolls and StatePolls are polls a second of a node whose upstreams are steady, over the upstreams
	// that it owns (PollRhythm).
	LoadPolls, CachePolls, StatePolls Line
	// RenewalBytes and RenewalCalls are per second and institution in flight on a node; RenewalCPU (cores) is over
	// these institutions (LimitRenewal).
	RenewalBytes, RenewalCalls, RenewalCPU Line
	// LimitState is per institution at the serving node and LimitOwnerState per node at the owner; LimitCPU,
	// LimitCalls and LimitBytes are of one request (Limits, LimitOwner).
	LimitState, LimitOwnerState, LimitCPU, LimitCalls, LimitBytes Line
	// ReconcileState and ReconcileCPU are per upstream and per upstream and pass (Reconcile). ReportBytes and ReportCPU
	// are of one report without a change, with both ends (EngineReports).
	ReconcileState, ReconcileCPU, ReportBytes, ReportCPU Line
	// OwnedState is of one upstream, over the granted slots; QueuedState is of one waiting request and PlaceCPU,
	// AcquireCalls and AcquireBytes of one request, over upstreams (AdmissionOwnerState, AdmissionOwnerQueue,
	// AdmissionRequest).
	OwnedState, QueuedState, PlaceCPU, AcquireCalls, AcquireBytes Line
	// GatewayCPU is of one request and TokenCPU of one streamed token; FlightState is of a request in flight with both
	// ends of its connection (GatewayRequest, GatewayTokens, GatewayInFlight).
	GatewayCPU, TokenCPU, FlightState Line
	// SuspectState, CheckCPU, CheckCalls and CheckBytes are of one fingerprint and of one check with its report
	// (Fingerprints).
	SuspectState, CheckCPU, CheckCalls, CheckBytes Line
	// KeyState, KeyCPU, KeyCalls and KeyBytes are of one idempotency key (IdempotencyKeys).
	KeyState, KeyCPU, KeyCalls, KeyBytes Line
	// ClaimState is of one claim at the owner of its bucket; ClaimCPU and ClaimStoreBytes of one claim are over all
	// claims held in 256 buckets, and ClaimWrites is its calls to the store (Claims).
	ClaimState, ClaimCPU, ClaimStoreBytes, ClaimWrites Line
	// OpenJobState is of one open job on each node, StartCPU of taking over all at a start, over open jobs (OpenJobs).
	OpenJobState Line
	StartCPU     Line
	// PartState is of one held part, ItemCPU of one item, OpenBytes of the summaries of one job that all nodes watch
	// (HeldParts, Job).
	PartState, ItemCPU, OpenBytes Line
	// ItemReads and ItemWrites are store calls of one item of a job of mean size on 8 nodes (Job).
	ItemReads, ItemWrites Line
	// BurnState is of one institution with two objectives; BurnCPU of one request; EntryState and EntryCPU of one entry
	// of the decision log (Burn, Explain).
	BurnState, BurnCPU, EntryState, EntryCPU Line
}

package capacity

// Slopes are the measured costs. A State is in bytes of live memory. Other bytes are those of messages with TCP/IP
// headers, or of values in the store. A CPU is processor time, in cores where the comment says so and otherwise in
// nanoseconds. "By X" means that the cost is a line over the number of X. Each comment ends with the benchmarks of this
// package that measure the costs.
type Slopes struct {
	// ControlState, ControlCPU (cores) and ControlReads (per second, of the whole fleet) are the costs of lease and
	// membership on one node, by nodes. ControlBytes, ControlCalls, ControlStoreBytes and LeaseWrites are per second and
	// node (ControlPlane).
	ControlState, ControlCPU                                   Line
	ControlBytes, ControlCalls, ControlStoreBytes, LeaseWrites Line
	ControlReads                                               Line
	// ChangeBytes and ChangeCalls are the costs of one configuration change on one node, by nodes. ChangeReads and
	// ChangeWrites are the store calls of one change (ControlPlane).
	ChangeBytes, ChangeCalls, ChangeReads, ChangeWrites Line
	// ConfigState is the memory of a configuration and ConfigReceiveCPU the cost of one change on a node that receives
	// it, by upstreams (ConfigSize, ConfigReceive).
	ConfigState, ConfigReceiveCPU Line
	// LoopState, LoopCPU (cores), LoopCalls and LoopBytes (both per second) are the costs of the loops of the upstream
	// observer and of admission on one node that learns 16 upstream states a second, by upstreams (IdleLoops).
	LoopState, LoopCPU, LoopCalls, LoopBytes Line
	// HeldCalls, HeldBytes and HeldCPU (cores) are what the reports of 58 held slots add per second (IdleLoops).
	HeldCalls, HeldBytes, HeldCPU Line
	// VMRelayCalls and VMRelayBytes are the calls and bytes per second of a node that asks a relay for the VM list.
	// VMListReads is the reads per second of a relay; VMListBytes and VMListCPU are the costs of one read, by VMs (VMs,
	// VMList).
	VMRelayCalls, VMRelayBytes, VMListReads, VMListBytes, VMListCPU Line
	// LoadPollBytes, StatePollBytes, CachePollBytes and PollCPU are the costs of one poll of an upstream (Polls).
	LoadPollBytes, StatePollBytes, CachePollBytes, PollCPU Line
	// LoadPolls, CachePolls and StatePolls are the polls per second of a node whose upstreams have no faults, by the
	// upstreams that it owns (PollRhythm).
	LoadPolls, CachePolls, StatePolls Line
	// RenewalBytes and RenewalCalls are per second and institution with a request in flight on the node. RenewalCPU
	// (cores) is by these institutions (LimitRenewal).
	RenewalBytes, RenewalCalls, RenewalCPU Line
	// LimitState is per institution on the serving node, and LimitOwnerState per node on the limit owner. LimitCPU,
	// LimitCalls and LimitBytes are the costs of one request (Limits, LimitOwner).
	LimitState, LimitOwnerState, LimitCPU, LimitCalls, LimitBytes Line
	// ReconcileState is per upstream, and ReconcileCPU per upstream and pass (Reconcile). ReportBytes and ReportCPU are
	// the costs of one engine report without a change, at both ends together (EngineReports).
	ReconcileState, ReconcileCPU, ReportBytes, ReportCPU Line
	// OwnedState is the memory of one upstream on its admission owner, by granted slots, and QueuedState that of one
	// waiting request. AcquireCPU, AcquireCalls and AcquireBytes are the costs of one request, by upstreams
	// (AdmissionOwnerState, AdmissionOwnerQueue, AdmissionRequest).
	OwnedState, QueuedState, AcquireCPU, AcquireCalls, AcquireBytes Line
	// GatewayCPU is the cost of one request. TokenCPU is the cost of a streamed request by tokens, so that its slope is
	// that of one token. InFlightState is the memory of a request in flight, with both ends of its connection, by
	// requests (GatewayRequest, GatewayTokens, GatewayInFlight).
	GatewayCPU, TokenCPU, InFlightState Line
	// SuspectState is the memory of one fingerprint. CheckCPU, CheckCalls and CheckBytes are the costs of one check with
	// its report (Fingerprints).
	SuspectState, CheckCPU, CheckCalls, CheckBytes Line
	// KeyState, KeyCPU, KeyCalls and KeyBytes are the costs of one idempotency key (IdempotencyKeys).
	KeyState, KeyCPU, KeyCalls, KeyBytes Line
	// ClaimState is the memory of one claim on the owner of its bucket. ClaimCPU, ClaimStoreBytes and ClaimWrites (store
	// calls) are the costs of making one claim, by the claims held in all 256 buckets (Claims).
	ClaimState, ClaimCPU, ClaimStoreBytes, ClaimWrites Line
	// OpenJobState is the memory of one open job on each node. StartCPU is the cost of listing all open jobs when a node
	// starts, by open jobs (OpenJobs).
	OpenJobState Line
	StartCPU     Line
	// PartState is the memory of one held part and ItemCPU the cost of one item. OpenJobBytes is the bytes of the
	// summaries of one job, which all nodes watch, by items (HeldParts, Job).
	PartState, ItemCPU, OpenJobBytes Line
	// ItemReads and ItemWrites are the store calls per item of a job of mean size on 8 nodes (Job).
	ItemReads, ItemWrites Line
	// BurnState is the memory of one institution with two objectives, and BurnCPU the cost of one request. EntryState and
	// EntryCPU are the costs of one entry of the decision log (Burn, Explain).
	BurnState, BurnCPU, EntryState, EntryCPU Line
}

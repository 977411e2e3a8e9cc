package capacity

// Measured holds the results of the benchmarks named in the comments, run on 2026-12-03 on 12 cores of a shared machine
// (Intel Xeon). docs/CAPACITY.md has the commands. X is the size that the comment names.
var Measured = Slopes{
	// Lease and membership, BenchmarkControlPlane, by nodes.
	ControlState:      Fit(Point{38, 144853}, Point{128, 260569}, Point{380, 719472}),
	ControlCPU:        Fit(Point{38, 0.00008233}, Point{128, 0.000128}, Point{380, 0.0002896}),
	ControlBytes:      Constant(Point{38, 537.8}, Point{128, 537.8}, Point{380, 537.5}),
	ControlCalls:      Constant(Point{38, 1.199}, Point{128, 1.198}, Point{380, 1.199}),
	ControlStoreBytes: Constant(Point{38, 130.8}, Point{128, 99.97}, Point{380, 50.46}),
	LeaseWrites:       Constant(Point{38, 0.09781}, Point{128, 0.08333}, Point{380, 0.09088}),
	ControlReads:      Constant(Point{38, 0.8}, Point{128, 0.5833}, Point{380, 0.2667}),
	ChangeBytes:       Fit(Point{38, 5288}, Point{128, 5424}, Point{380, 5463}),
	ChangeCalls:       Fit(Point{38, 9.579}, Point{128, 9.875}, Point{380, 9.958}),
	ChangeReads:       Constant(Point{38, 1}, Point{128, 1}, Point{380, 1}),
	ChangeWrites:      Constant(Point{38, 2}, Point{128, 2}, Point{380, 2}),
	// Configuration, by upstreams: BenchmarkConfigSize, and BenchmarkConfigReceive less BenchmarkConfigSize.
	ConfigState:      Fit(Point{100, 370448}, Point{500, 997776}, Point{1500, 3295368}),
	ConfigReceiveCPU: Fit(Point{100, 4900000.0}, Point{500, 13850000.0}, Point{1500, 47060000.0}),
	// Loops, BenchmarkIdleLoops, variant learning, by upstreams. The state is from runs in which one controller answered
	// for all other owners; otherwise it would include the memory of each of them.
	LoopState: Fit(Point{100, 350600}, Point{500, 1079000}, Point{1500, 2572500}),
	LoopCPU:   Fit(Point{100, 0.0001718}, Point{500, 0.0005965}, Point{1500, 0.001617}),
	// Calls fall as the number of owners grows: 100 upstreams gave 1.003 calls/s and 1,044 B/s, 500 gave 0.5 and 505.
	LoopCalls: Constant(Point{1500, 0.25}),
	LoopBytes: Constant(Point{1500, 260}),
	// Variant holding less variant learning.
	HeldCalls: Constant(Point{1500, 11.2}),
	HeldBytes: Constant(Point{1500, 15054}),
	HeldCPU:   Constant(Point{1500, 0.000405}),
	// VM list, BenchmarkVMs by nodes and BenchmarkVMList by VMs.
	VMRelayCalls: Constant(Point{38, 0.9944}, Point{128, 1.001}, Point{380, 1}),
	VMRelayBytes: Constant(Point{38, 153.1}, Point{128, 154.2}, Point{380, 154.1}),
	VMListReads:  Constant(Point{38, 0.9833}, Point{128, 1}, Point{380, 0.9917}),
	VMListBytes:  Fit(Point{140, 5102}, Point{630, 21755}, Point{1880, 64255}),
	VMListCPU:    Fit(Point{140, 352052}, Point{630, 1644848}, Point{1880, 3794820}),
	// Polls, BenchmarkPolls.
	LoadPollBytes:  Constant(Point{1, 427}, Point{4, 427}, Point{16, 427}),
	StatePollBytes: Constant(Point{1, 385}, Point{4, 385}, Point{16, 385}),
	CachePollBytes: Constant(Point{1, 359}, Point{4, 359}, Point{16, 359}),
	PollCPU:        Constant(Point{1, 103861}, Point{4, 101052}, Point{16, 121875}),
	// BenchmarkPollRhythm, by owned upstreams. With 16, where pollCost bounds polls of loads and caches, they were 1.547
	// and 0.7733, below these lines; the target has 3.9 owned upstreams.
	LoadPolls:  Fit(Point{1, 0.1}, Point{4, 0.4233}),
	CachePolls: Fit(Point{1, 0.1}, Point{4, 0.4117}),
	StatePolls: Fit(Point{1, 0.03333}, Point{4, 0.1333}, Point{16, 0.5367}),
	// Limits, BenchmarkLimitRenewal by institutions in flight, BenchmarkLimits and BenchmarkLimitOwner.
	// Renewals were measured with 380 nodes: 54 institutions then have 51 owners, and few calls carry more than one.
	RenewalBytes:    Constant(Point{10, 2.06}, Point{25, 1.991}, Point{100, 1.713}),
	RenewalCalls:    Constant(Point{10, 0.01}, Point{25, 0.0096}, Point{100, 0.008}),
	RenewalCPU:      Fit(Point{10, 0.00003198}, Point{25, 0.00003902}, Point{100, 0.00007284}),
	LimitState:      Constant(Point{100, 954.6}, Point{400, 867.9}),
	LimitOwnerState: Constant(Point{128, 142.1}, Point{380, 127.3}),
	LimitCPU:        Constant(Point{25, 351975}, Point{100, 342025}, Point{400, 400750}),
	LimitCalls:      Constant(Point{25, 2.975}, Point{100, 2.925}, Point{400, 2.925}),
	LimitBytes:      Constant(Point{25, 644.5}, Point{100, 633}, Point{400, 633.6}),
	// Reconciler, BenchmarkReconcile, by upstreams.
	ReconcileState: Constant(Point{500, 1491}, Point{1500, 1473}),
	ReconcileCPU:   Constant(Point{100, 20805}, Point{500, 20057}, Point{1500, 19835}),
	// Reports to the reconciler, BenchmarkEngineReports, by owned engines.
	ReportBytes: Constant(Point{1, 186}, Point{4, 186}, Point{16, 186}),
	ReportCPU:   Constant(Point{1, 24750}, Point{4, 44500}, Point{16, 88833}),
	// Admission: BenchmarkAdmissionOwnerState at 1,500 upstreams by slots, BenchmarkAdmissionOwnerQueue by waiting
	// requests, BenchmarkAdmissionRequest by upstreams.
	OwnedState:   Fit(Point{1, 2136}, Point{16, 8195}),
	QueuedState:  Constant(Point{16, 1218}, Point{64, 1402}, Point{240, 1547}),
	AcquireCPU:   Fit(Point{100, 112252}, Point{500, 249794}, Point{1500, 515198}),
	AcquireCalls: Constant(Point{100, 2}, Point{500, 2}, Point{1500, 2}),
	AcquireBytes: Constant(Point{500, 1911}, Point{1500, 1867}),
	// Gateway: BenchmarkGatewayRequest by institutions, BenchmarkGatewayTokens by tokens of one request,
	// BenchmarkGatewayInFlight by requests.
	GatewayCPU:    Constant(Point{25, 103595}, Point{100, 112565}, Point{400, 98243}),
	TokenCPU:      Fit(Point{16, 117555}, Point{128, 229974}, Point{1024, 1005634}),
	InFlightState: Fit(Point{50, 42359}, Point{200, 46183}, Point{800, 56983}),
	// Fingerprints, BenchmarkFingerprints, by suspects.
	SuspectState: Constant(Point{10000, 284.1}),
	CheckCPU:     Constant(Point{100, 352205}, Point{1000, 331373}, Point{10000, 319184}),
	CheckCalls:   Constant(Point{100, 3.986}, Point{1000, 3.989}, Point{10000, 3.987}),
	CheckBytes:   Constant(Point{100, 994}, Point{1000, 997.3}, Point{10000, 1001}),
	// Keys and claims, BenchmarkIdempotencyKeys by keys and BenchmarkClaims by claims held.
	KeyState:        Constant(Point{100, 1615}, Point{1000, 1477}, Point{10000, 1397}),
	KeyCPU:          Constant(Point{100, 894112}, Point{1000, 2473517}, Point{10000, 1975901}),
	KeyCalls:        Constant(Point{100, 3.99}, Point{1000, 4}, Point{10000, 3.99}),
	KeyBytes:        Constant(Point{100, 3206}, Point{1000, 3224}, Point{10000, 3227}),
	ClaimState:      Constant(Point{100000, 261.4}),
	ClaimCPU:        Constant(Point{1000, 73395}, Point{10000, 89070}, Point{100000, 73191}),
	ClaimStoreBytes: Fit(Point{1000, 2175}, Point{10000, 2311}, Point{100000, 2360}),
	ClaimWrites:     Constant(Point{1000, 1.021}, Point{10000, 1.026}, Point{100000, 1.029}),
	// Jobs, BenchmarkOpenJobs by open jobs, BenchmarkHeldParts and BenchmarkJob by items of the job; the mean job of the
	// target has 1,360.
	OpenJobState: Constant(Point{1000, 803.2}, Point{4000, 651.2}, Point{11000, 623.1}),
	StartCPU:     Fit(Point{1000, 23160000}, Point{4000, 75420000}, Point{11000, 270200000}),
	PartState:    Constant(Point{1000, 668564}, Point{4000, 928056}, Point{16000, 1033512}),
	ItemCPU:      Constant(Point{1360, 209063}, Point{20000, 264842}),
	// OpenJobBytes is the mean of four runs.
	OpenJobBytes: Fit(Point{20, 3952}, Point{1360, 4903}, Point{20000, 43872}),
	ItemReads:    Constant(Point{1360, 0.309}),
	ItemWrites:   Constant(Point{1360, 0.0351}),
	// Burn and decision log, BenchmarkBurn by institutions and BenchmarkExplain by entries.
	BurnState:  Constant(Point{25, 18287}, Point{100, 18277}, Point{400, 18209}),
	BurnCPU:    Constant(Point{25, 862}, Point{100, 970}, Point{400, 1092}),
	EntryState: Constant(Point{1000, 590}, Point{5000, 591}, Point{20000, 601}),
	EntryCPU:   Constant(Point{1000, 1170}, Point{5000, 1187}, Point{20000, 1058}),
}

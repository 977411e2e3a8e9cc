package loadshare

import (
	"trefoilplank.example/pkg/decision/customerlimit"
	"trefoilplank.example/pkg/decision/dispatch"
	"trefoilplank.example/pkg/decision/failedruns"
	"trefoilplank.example/pkg/decision/keyvalidity"
	"trefoilplank.example/pkg/decision/outlier"
	"trefoilplank.example/pkg/decision/quota"
	"trefoilplank.example/pkg/decision/softwareversion"
)

// Report is what a node sends to the hub in an exchange.
type Report struct {
	Node        string
	Incarnation int64
	Draining    bool
	Loads       map[string]dispatch.Load
	// Wants are the slots that the node asks for, by service.
	Wants map[string]dispatch.Want
	// Evidence is the evidence about upstreams from the node's runs since its last report.
	Evidence map[string]outlier.Evidence
	// FailedRuns are the failed runs that the node knows and the hub has not confirmed. HubIncarnation and FailedRunsSeen are
	// the process of the hub and the revision of its failed runs from the last answer.
	FailedRuns                     []failedruns.Record
	HubIncarnation, FailedRunsSeen int64
	// Streams are the software versions of streams that the hub has not confirmed, and StreamsSeen the revision of the hub's
	// from the last answer.
	Streams     []softwareversion.Record
	StreamsSeen int64
	// Announced is what the node knows of the answers of upstreams. Started are the requests that it sent to limited upstreams
	// since its last report; CountsStarted is set by nodes that count them.
	Announced     map[string]dispatch.Announcement
	Started       map[string]int
	CountsStarted bool
	// Indexed asks for the totals as IndexedLoads. Index is the revision of the index of upstreams that the node has.
	Indexed bool
	Index   int64
	// Waiting is what waits of the node's jobs on routes with a limit on waiting tokens, by job.
	Waiting map[string]quota.Waiting
	// CutOff is set while the node reaches no upstream of some service itself. CutOffSeen is the CutOffRevision of the last
	// answer.
	CutOff     bool
	CutOffSeen int64
	// Customers is what the hub is told of the requests of customers, nil if there are no customers.
	Customers *customerlimit.Report
	// StoreReturned is set if the store answers the node again while it does not answer the hub by the last answer.
	StoreReturned bool
}

// Totals is the hub's answer to a report.
type Totals struct {
	// Loads are the loads of the upstreams, summed over all nodes. Nodes that ask for it get IndexedLoads in their place.
	Loads        map[string]dispatch.Load
	IndexedLoads *IndexedLoads
	// Silent lists the unresponsive nodes: those that are registered and do not report. Draining lists the draining ones.
	Silent, Draining []string
	// Outliers holds the upstreams that serve worse than the others, with the part of their usual work that they should
	// get.
	Outliers map[string]float64
	// Grant holds the slots that only this node may use until its next report.
	Grant dispatch.Grant
	// Revisions are the revisions of the hub's copies of the store, by prefix. Copies that the hub cannot keep up to date
	// are omitted.
	Revisions map[string]int64
	// FailedRuns are the failed runs that changed after the revision in the report, and lead to FailedRunsRevision.
	// HubIncarnation is the process of the hub, 0 from a version without failed runs.
	FailedRuns                         []failedruns.Record
	HubIncarnation, FailedRunsRevision int64
	// Streams are the software versions of the streams of all nodes that changed after the revision in the report, and lead to
	// StreamsRevision. Only the node that would be the hub next gets them.
	Streams         []softwareversion.Record
	StreamsRevision int64
	// Announced is what all nodes know of the answers of upstreams. DividesLimits is set by hubs whose grants keep the limits
	// that upstreams name.
	Announced     map[string]dispatch.Announcement
	DividesLimits bool
	// BeginsEmpty is set by hubs that allow no requests at once to limited upstreams when they begin to serve: the hub before may
	// have allowed them.
	BeginsEmpty bool
	// Sweeps is set by hubs that read the heads of all jobs and the VMs to be emptied from the store for the other nodes, and
	// Retiring are the nodes on those VMs.
	Sweeps   bool
	Retiring []string
	// CutOff are the nodes that reach no upstream of some service themselves, sent if CutOffRevision is not the one in the
	// report.
	CutOff         []string
	CutOffRevision int64
	// Unconfirmed is set if other nodes may count the reporting node as lost all the same: the hub does not know its entry, or
	// at most half of the registered nodes report to the hub.
	Unconfirmed bool
	// Successor is set for the node that would be the hub next.
	Successor bool
	// Ages are the ages of the hub's copies of the store, by prefix; empty if the hub does not keep them.
	Ages map[string]keyvalidity.Age
	// Customers is the answer about customers, nil if there are none.
	Customers *customerlimit.Answer
	// StoreDisrupted is set while the store does not answer the hub's own calls.
	StoreDisrupted bool
}

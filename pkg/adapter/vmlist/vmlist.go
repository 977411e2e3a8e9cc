// Package vmlist polls the platform's list of VMs, which is highly available but lags behind the VMs' actual states.
package vmlist

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/adapter/answers"
	"trefoilplank.example/pkg/blackboard"
)

// Error is the class of the errors of this package.
var Error = errs.Class("VM list")

const (
	// DefaultInterval is the mean time between two reads. The list lags by more than that, so a shorter interval gains
	// nothing.
	DefaultInterval = 10 * time.Second
	requestTimeout  = 5 * time.Second
	// maxResponseBytes bounds the response body: a few thousand VMs of a few hundred bytes each.
	maxResponseBytes = 4 << 20
)

// callCounts counts the reads sent ("get") and those that failed ("failed").
var callCounts = expvar.NewMap("vmlist_calls")

// Poller reads the platform's VM list. Read makes one read; Run copies the list to the board's VMs section at regular
// intervals.
type Poller struct {
	url      string
	http     *http.Client
	board    *blackboard.Board
	interval time.Duration
}

// New returns a poller of the list at address (IP:port or an http URL). A nil transport selects the default one.
func New(address string, b *blackboard.Board, transport http.RoundTripper) *Poller {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	if transport == nil {
		transport = http.DefaultTransport
	}
	return &Poller{
		url: strings.TrimRight(address, "/") + "/vms", board: b, interval: DefaultInterval,
		http: &http.Client{Transport: answers.Transport{Base: transport}, Timeout: requestTimeout},
	}
}

// Run polls the list until ctx ends. When a read fails, the board keeps the last list that was read.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		vms, err := p.Read(ctx)
		if err == nil {
			p.board.VMs.Set(vms)
		} else if ctx.Err() == nil {
			callCounts.Add("failed", 1)
			klog.V(1).Infof("cannot read the VM list, keeping the last one: %v", err)
		}
		t := time.NewTimer(p.interval*9/10 + rand.N(p.interval/5))
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
	return ctx.Err()
}

// Read fetches the list once and returns the state of each VM by name. Entries with an unknown state are left out.
func (p *Poller) Read(ctx context.Context) (map[string]blackboard.VMState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	callCounts.Add("get", 1)
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("GET /vms returned status %d", resp.StatusCode)
	}
	return decode(io.LimitReader(resp.Body, maxResponseBytes))
}

// decode reads the JSON list and skips VMs with an unknown state.
func decode(r io.Reader) (map[string]blackboard.VMState, error) {
	var list []struct {
		Name  string             `json:"name"`
		State blackboard.VMState `json:"state"`
	}
	if err := json.NewDecoder(r).Decode(&list); err != nil {
		return nil, Error.Wrap(err)
	}
	vms := make(map[string]blackboard.VMState, len(list))
	for _, v := range list {
		switch v.State {
		case blackboard.VMLive, blackboard.VMLeaving, blackboard.VMLost:
			vms[v.Name] = v.State
		default:
			klog.Warningf("ignoring VM %q in the VM list: unknown state %q", v.Name, v.State)
		}
	}
	return vms, nil
}

// Package vmlist reads the platform's list of VMs, which is available but lags.
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

	"trefoilplank.example/pkg/blackboard"
)

// Error is the class of the errors of this package.
var Error = errs.Class("VM list")

const (
	// DefaultInterval is the time between two reads. The list lags by more than that, so faster reads gain nothing.
	DefaultInterval = 10 * time.Second
	callTimeout     = 5 * time.Second
	// maxBytes bounds the answer: some thousand VMs of a few hundred bytes.
	maxBytes = 4 << 20
)

var calls = expvar.NewMap("vmlist_calls")

// Poller writes the board's VMs section.
type Poller struct {
	url      string
	http     *http.Client
	board    *blackboard.Board
	interval time.Duration
}

// New returns a poller of the list at address (IP:port or an http URL). transport may be nil.
func New(address string, b *blackboard.Board, transport http.RoundTripper) *Poller {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &Poller{
		url: strings.TrimRight(address, "/") + "/vms", board: b, interval: DefaultInterval,
		http: &http.Client{Transport: transport, Timeout: callTimeout},
	}
}

// Run reads the list until ctx ends. While it can't be read the last one stays on the board.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		vms, err := p.Read(ctx)
		if err == nil {
			p.board.VMs.Set(vms)
		} else if ctx.Err() == nil {
			calls.Add("failed", 1)
			klog.V(1).Infof("read the VM list: %v", err)
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

// Read returns the list by VM name. Entries with an unknown state are left out.
func (p *Poller) Read(ctx context.Context) (map[string]blackboard.VMState, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	calls.Add("get", 1)
	resp, err := p.http.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("status %d", resp.StatusCode)
	}
	return decode(io.LimitReader(resp.Body, maxBytes))
}

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
			klog.Warningf("VM %q has unknown state %q", v.Name, v.State)
		}
	}
	return vms, nil
}

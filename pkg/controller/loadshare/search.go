package loadshare

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoilplank.example/pkg/adapter/peer"
)

const (
	// searchAfter is the number of exchanges in a row without an answer after which the candidates for the hub are asked at once. Trying
	// one after the other takes too long if many nodes are lost together.
	searchAfter = 2
	// searchNodes limits the candidates that are asked, and searchTimeout bounds a call.
	searchNodes, searchTimeout = 32, 200 * time.Millisecond
)

// searchHub is called after an exchange without an answer. It passes over the candidates for the hub that do not answer.
func (e *Exchange) searchHub(ctx context.Context) {
	if e.unanswered++; e.unanswered < searchAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	self := e.options.Fleet.Self().Name
	var calls sync.WaitGroup
	for n, name := range rankedHubs(e.options.Fleet) {
		if name == self || n == searchNodes {
			break // This node would be the hub before those that follow.
		}
		calls.Go(func() {
			// Earlier builds don't know the method, which is an answer too.
			err := e.options.Peers.Call(ctx, name, "Load.Ping", Ping{}, &Ping{})
			if errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrTimeout) || errors.Is(err, peer.ErrConnectionLost) {
				e.options.Fleet.Suspect(name, suspectFor, err)
			}
		})
	}
	calls.Wait()
	e.cachedHub = hubChoice{}
}

// Ping asks a node for an answer.
type Ping struct{}

// Ping answers.
func (*Receiver) Ping(Ping, *Ping) error { return nil }

// Package peer makes and serves calls between nodes with net/rpc over authenticated persistent connections.
package peer

import (
	"context"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("peer")

// Errors of calls; test with errors.Is.
var (
	// ErrUnreachable means that the call did not reach the peer.
	ErrUnreachable = Error.New("peer unreachable")
	// ErrTimeout means that no answer came in time; the peer may have acted.
	ErrTimeout = Error.New("peer call timed out")
	// ErrUnknownNode means that the node is not a live member.
	ErrUnknownNode = Error.New("unknown node")
)

// Caller calls a method such as "Admission.Acquire" of another node. args and reply are as in net/rpc.
type Caller interface {
	// Call calls a node by name. A call to the own node runs in process.
	Call(ctx context.Context, node, method string, args, reply any) error
	// CallAddress calls a peer by IP:port, before its name is known.
	CallAddress(ctx context.Context, address, method string, args, reply any) error
}

// Registrar registers receivers, whose exported methods of the net/rpc form other nodes can then call.
type Registrar interface {
	Register(name string, receiver any) error
}

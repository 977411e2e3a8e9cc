package forward

import (
	"net"
	"sync/atomic"

	"github.com/zeebo/errs"

	"trefoilplank.example/pkg/controller/uplink"
)

// writing follows the first write of a request. net/http may use another connection if nothing was written on the first one.
type writing struct {
	check func() error
	// begun is set once anything of the request was written.
	begun atomic.Bool
	// stopped is the error of the last check that kept the request from being written.
	stopped atomic.Pointer[error]
}

// on watches the first write on a connection that the request has got.
func (w *writing) on(conn net.Conn) {
	if !uplink.WatchFirstWrite(conn, w) {
		w.begun.Store(true)
	}
}

// Check implements uplink.FirstWrite.
func (w *writing) Check() error {
	err := w.check()
	if err != nil {
		w.stopped.Store(&err)
	}
	return err
}

// Written implements uplink.FirstWrite.
func (w *writing) Written(n int) {
	if n > 0 {
		w.begun.Store(true)
	}
}

// attribute adds ErrNotRun, and the error of the check, to the error of a request of which nothing was written.
func (w *writing) attribute(err error) error {
	if w.begun.Load() {
		return err
	}
	if stopped := w.stopped.Load(); stopped != nil {
		err = *stopped
	}
	return errs.Combine(ErrNotRun, err)
}

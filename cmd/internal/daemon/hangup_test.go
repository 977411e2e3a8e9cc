package daemon

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that SIGHUP ends, with all of its requests: the signal would end this test's process too.
func TestHangupsDoNotEndTheProcess(t *testing.T) {
	logHangups()
	for range 3 {
		assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		time.Sleep(10 * time.Millisecond)
	}
}

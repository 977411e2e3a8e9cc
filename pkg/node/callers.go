package node

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"trefoilplank.example/pkg/controller/callerbudget"
)

const (
	// callerMemoryPart is the part of the machine's memory that may be held for callers, unless --caller-memory-mb says otherwise.
	callerMemoryPart = 8
	// unreadTimeout is longer than the gateway waits for callers that do not read a stream, and for a download that pauses.
	unreadTimeout = 2 * time.Minute
)

// newCallerBudget creates the account of what the node holds for callers and connections. The gateway itself limits the time to
// send a body.
func (n *Node) newCallerBudget() *callerbudget.Budget {
	bytes := int64(n.settings.CallerMemoryMB) << 20
	if bytes == 0 {
		bytes = machineMemory() / callerMemoryPart
	}
	return callerbudget.New(callerbudget.Options{Bytes: bytes, Descriptors: descriptorLimit(), UnreadTimeout: unreadTimeout, Log: budgetLog{}})
}

// machineMemory returns the memory of the machine in bytes, or 0 if it is not known.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// descriptorLimit returns the limit on the descriptors of the process, or 0 if there is none.
func descriptorLimit() int {
	const none = 1 << 24 // Higher limits say nothing about the machine.
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > none {
		return 0
	}
	return int(limit.Cur)
}

// budgetLog writes the lines of the account.
type budgetLog struct{}

// Notice writes a line.
func (budgetLog) Notice(event string, fields ...any) { klog.InfoS(event, fields...) }

package edge

import (
	"net"
	"net/http"
	"syscall"

	"trefoilplank.example/pkg/controller/callerbudget"
	decision "trefoilplank.example/pkg/decision/callerbudget"
)

// buildCallerBudget creates the account of what the node holds for callers and connections.
func (n *Node) buildCallerBudget() {
	s := n.settings
	n.callers = callerbudget.New(callerbudget.Options{
		Bytes: int64(s.CallerMemoryFraction * float64(int64(s.MemoryMB)<<20)), Descriptors: descriptorLimit(s.MaxDescriptors),
		BodyTimeout: seconds(s.BodyTimeoutSeconds), UnreadTimeout: seconds(s.UnreadTimeoutSeconds), HeadBytes: n.headLimit,
		Log: n.log, Metrics: n.metrics,
	})
}

// descriptorLimit returns the lower one of the limit in the settings and that of the process, or 0 if neither is known.
func descriptorLimit(setting int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptorLimit {
		return setting
	}
	if setting > 0 {
		return min(setting, int(limit.Cur))
	}
	return int(limit.Cur)
}

// maxDescriptorLimit is the highest limit of a process that says something about the machine.
const maxDescriptorLimit = 1 << 24

// headLimit returns the configuration's limit on header sections, or 0.
func (n *Node) headLimit() int {
	if table := n.table.Load(); table != nil {
		return table.Limits.HeaderBytes
	}
	return 0
}

// account makes a server account for its connections, and returns the listener that does so.
func (n *Node) account(c decision.Class, s *http.Server, l net.Listener) net.Listener {
	group := n.callers.Group(c)
	group.Serve(s)
	return group.Listener(l)
}

package daemon

import (
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"
)

// logHangups logs each SIGHUP from now on. Without a handler the signal would end the process and cut its requests. A node reads no
// settings again: its configuration comes from the store, and certificate files are read when they change.
func logHangups() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			klog.InfoS("SIGHUP ignored: a node has no settings to read again")
		}
	}()
}

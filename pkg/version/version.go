// Package version describes the running binary.
package version

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the release version; the build sets it with -ldflags "-X trefoilplank.example/pkg/version.Version=...".
var Version = "development"

// Info describes the binary. Revision and Time are those of the source commit and are empty when it was built outside a
// checkout; Modified is set when the checkout had uncommitted changes.
type Info struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
	Revision string `json:"revision,omitempty"`
	Time     string `json:"time,omitempty"`
	Modified bool   `json:"modified"`
}

// Read returns the description of the running binary.
func Read() Info {
	v := Info{Version: Version, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			v.Revision = s.Value
		case "vcs.time":
			v.Time = s.Value
		case "vcs.modified":
			v.Modified = s.Value == "true"
		}
	}
	return v
}

// String returns the one-line description that the named program prints for --version.
func String(program string) string {
	v := Read()
	revision := v.Revision
	if revision == "" {
		revision = "unknown"
	}
	return fmt.Sprintf("%s %s (%s, %s, revision %s, modified %t)", program, v.Version, v.Go, v.Platform, revision, v.Modified)
}

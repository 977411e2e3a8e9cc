// Package node builds and runs one node from its settings: adapters, controllers, and the listeners for callers,
// operators and peers.
package node

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"trefoilplank.example/pkg/logs"
)

// Settings are the settings of one node. The text settings are also flags; Flags adds those that are parsed.
type Settings struct {
	Name             string `long:"name" env:"TREFOILPLANK_NAME" description:"name of the node, unique in the fleet"`
	AvailabilityZone string `long:"availability-zone" env:"TREFOILPLANK_AVAILABILITY_ZONE" description:"availability zone of the node's VM"`
	Region           string `long:"region" env:"TREFOILPLANK_REGION" description:"region of the availability zone"`
	Listen           string `long:"listen" env:"TREFOILPLANK_LISTEN" default:"127.0.0.1:8080" description:"IP:port for callers"`
	AdminListen      string `long:"admin-listen" env:"TREFOILPLANK_ADMIN_LISTEN" default:"127.0.0.1:8081" description:"IP:port for operators, /debug/vars, /healthz and /readyz"`
	PeerListen       string `long:"peer-listen" env:"TREFOILPLANK_PEER_LISTEN" default:"127.0.0.1:8082" description:"IP:port for other nodes"`
	PeerAdvertise    string `long:"peer-advertise" env:"TREFOILPLANK_PEER_ADVERTISE" description:"IP:port at which other nodes reach --peer-listen, when it differs (optional)"`
	Store            string `long:"store" env:"TREFOILPLANK_STORE" description:"IP:port or URL of the object API"`
	VMList           string `long:"vm-list" env:"TREFOILPLANK_VM_LIST" description:"IP:port or URL of the platform's VM list (optional)"`
	WeightStore      string `long:"weight-store" env:"TREFOILPLANK_WEIGHT_STORE" description:"IP:port or URL of the weight store (optional)"`
	DataDir          string `long:"data-dir" env:"TREFOILPLANK_DATA_DIR" description:"data folder on VMs that have a disk (optional)"`

	Join          []string `long:"join" env:"TREFOILPLANK_JOIN" env-delim:"," description:"peer address (IP:port) of another node, to start without the store; may be given several times"`
	LeaseDuration time.Duration

	DrainTimeout time.Duration
	AddressTTL   time.Duration

	OperatorKey     string `long:"operator-key" env:"TREFOILPLANK_OPERATOR_KEY" description:"bearer key of operators"`
	OperatorKeyFile string `long:"operator-key-file" env:"TREFOILPLANK_OPERATOR_KEY_FILE" description:"file that holds the operators' bearer key"`
	PeerSecret      string `long:"peer-secret" env:"TREFOILPLANK_PEER_SECRET" description:"secret that all nodes share"`
	PeerSecretFile  string `long:"peer-secret-file" env:"TREFOILPLANK_PEER_SECRET_FILE" description:"file that holds the secret that all nodes share"`

	TLSCert     string `long:"tls-cert" env:"TREFOILPLANK_TLS_CERT" description:"certificate file for callers and operators; reloaded on change"`
	TLSKey      string `long:"tls-key" env:"TREFOILPLANK_TLS_KEY" description:"key file of --tls-cert"`
	PeerTLSCert string `long:"peer-tls-cert" env:"TREFOILPLANK_PEER_TLS_CERT" description:"certificate file for other nodes (mutual TLS)"`
	PeerTLSKey  string `long:"peer-tls-key" env:"TREFOILPLANK_PEER_TLS_KEY" description:"key file of --peer-tls-cert"`
	PeerTLSCA   string `long:"peer-tls-ca" env:"TREFOILPLANK_PEER_TLS_CA" description:"CA file that other nodes' certificates are checked against"`

	// CallerMemoryMB is the memory that may be held for callers, or 0 for an eighth of the machine's.
	CallerMemoryMB int

	Verbosity int
	LogFormat string `long:"log-format" env:"TREFOILPLANK_LOG_FORMAT" default:"text" description:"log format, text or json"`
}

// SettingsError holds a message for each fault of the settings.
type SettingsError []string

// Error returns the faults, one a line.
func (e SettingsError) Error() string { return strings.Join(e, "\n") }

// namePattern matches the names of nodes, which are part of request ids.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.]{0,62}$`)

// minSecretBytes is the shortest accepted key or secret; shorter ones can be guessed.
const minSecretBytes = 12

// minLeaseDuration allows for a renewal that the store takes a second to answer.
const minLeaseDuration = 5 * time.Second

// Check reads the key files into OperatorKey and PeerSecret, and returns a SettingsError with every fault.
func (s *Settings) Check() error {
	var faults SettingsError
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if !namePattern.MatchString(s.Name) {
		addFault("--name: %q must be 1 to 63 letters, digits or '.' (request ids are NAME-ULID)", s.Name)
	}
	if s.AvailabilityZone == "" {
		addFault("--availability-zone: is missing")
	}
	if s.Store == "" {
		addFault("--store: is missing")
	}
	for _, a := range []struct{ flag, address string }{
		{"store", s.Store}, {"vm-list", s.VMList}, {"weight-store", s.WeightStore},
	} {
		if a.address != "" && !isAddress(a.address) {
			addFault("--%s: %q must be IP:port or a URL", a.flag, a.address)
		}
	}
	s.checkListeners(addFault)
	s.OperatorKey = readSecret(addFault, "operator-key", s.OperatorKey, s.OperatorKeyFile)
	s.PeerSecret = readSecret(addFault, "peer-secret", s.PeerSecret, s.PeerSecretFile)
	s.checkFiles(addFault)
	if s.DrainTimeout <= 0 {
		addFault("--drain-timeout: must be above 0")
	}
	if s.AddressTTL < time.Second {
		addFault("--address-ttl: must be at least 1s")
	}
	if s.LeaseDuration < minLeaseDuration {
		addFault("--lease-duration: must be at least %s", minLeaseDuration)
	}
	for _, address := range s.Join {
		if _, _, err := net.SplitHostPort(address); err != nil {
			addFault("--join: %q must be IP:port", address)
		}
	}
	if s.CallerMemoryMB < 0 {
		addFault("--caller-memory-mb: must not be negative")
	}
	if s.Verbosity < 0 || s.Verbosity > 10 {
		addFault("-v: must be between 0 and 10")
	}
	if err := logs.CheckFormat(s.LogFormat); err != nil {
		addFault("--log-format: %v", err)
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}

// isAddress reports whether s is HOST:PORT or an HTTP URL.
func isAddress(s string) bool {
	if u, err := url.Parse(s); err == nil && (u.Scheme == "http" || u.Scheme == "https") {
		return u.Host != ""
	}
	_, _, err := net.SplitHostPort(s)
	return err == nil
}

// checkListeners checks that the listener addresses are IP:port and differ.
func (s *Settings) checkListeners(addFault func(string, ...any)) {
	seen := map[string]string{}
	for _, l := range []struct{ flag, address string }{
		{"listen", s.Listen}, {"admin-listen", s.AdminListen}, {"peer-listen", s.PeerListen},
	} {
		host, port, err := net.SplitHostPort(l.address)
		switch {
		case err != nil:
			addFault("--%s: %q must be IP:port", l.flag, l.address)
		case net.ParseIP(host) == nil:
			addFault("--%s: %q must be IP:port with an IP address, not a host name", l.flag, l.address)
		case seen[l.address] != "" && port != "0":
			addFault("--%s: %q is also the address of --%s", l.flag, l.address, seen[l.address])
		}
		seen[l.address] = l.flag
	}
	if host, _, err := net.SplitHostPort(s.PeerAdvertise); s.PeerAdvertise != "" && (err != nil || net.ParseIP(host) == nil) {
		addFault("--peer-advertise: %q must be IP:port", s.PeerAdvertise)
	}
}

// readSecret returns the value of a key or secret that is given directly or in a file, and reports one that is too
// short.
func readSecret(addFault func(string, ...any), flag, value, file string) string {
	if value != "" && file != "" {
		addFault("--%s: only one of --%s and --%s-file may be given", flag, flag, flag)
		return ""
	}
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			addFault("--%s-file: %v", flag, err)
			return ""
		}
		value = strings.TrimSpace(string(data))
	}
	if len(value) < minSecretBytes {
		addFault("--%s: must have at least %d characters", flag, minSecretBytes)
	}
	return value
}

// checkFiles checks that the TLS files are given in full sets and exist, and that the data folder does.
func (s *Settings) checkFiles(addFault func(string, ...any)) {
	if (s.TLSCert == "") != (s.TLSKey == "") {
		addFault("--tls-cert and --tls-key: both or none must be given")
	}
	given := 0
	for _, f := range []string{s.PeerTLSCert, s.PeerTLSKey, s.PeerTLSCA} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		addFault("--peer-tls-cert, --peer-tls-key and --peer-tls-ca: all or none must be given")
	}
	files := []struct{ flag, name string }{
		{"tls-cert", s.TLSCert}, {"tls-key", s.TLSKey}, {"peer-tls-cert", s.PeerTLSCert},
		{"peer-tls-key", s.PeerTLSKey}, {"peer-tls-ca", s.PeerTLSCA},
	}
	for _, f := range files {
		if f.name == "" {
			continue
		}
		if _, err := os.Stat(f.name); err != nil {
			addFault("--%s: %v", f.flag, err)
		}
	}
	if s.DataDir != "" {
		if info, err := os.Stat(s.DataDir); err != nil || !info.IsDir() {
			addFault("--data-dir: %q is not an existing folder", s.DataDir)
		}
	}
}

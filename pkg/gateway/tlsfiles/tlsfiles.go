// Package tlsfiles provides a TLS configuration from certificate files and reloads the files when they change.
package tlsfiles

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"
)

// Error is the class of all errors that this package returns.
var Error = errs.Class("tls files")

// checkInterval is the minimum time between checks for changed files.
const checkInterval = time.Second

// Files is a certificate and its key in PEM files. Methods are safe for concurrent use.
type Files struct {
	certFile, keyFile string

	mu          sync.Mutex
	certificate *tls.Certificate
	versions    [2]fileVersion
	checked     time.Time
}

// fileVersion stands for the content of a file; a change of it causes a reload.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Load reads the files for the first time. Unlike errors of later reloads, its error is returned, since it means that
// the settings are wrong.
func Load(certFile, keyFile string) (*Files, error) {
	f := &Files{certFile: certFile, keyFile: keyFile}
	versions, err := f.readVersions()
	if err != nil {
		return nil, err
	}
	return f, f.loadPair(versions)
}

// Config returns a TLS configuration for servers that uses the current certificate.
func (f *Files) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// Callers are served over HTTP/1.1 only, whose connections can be drained one by one.
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return f.reloadIfChanged(time.Now()), nil
		},
	}
}

// reloadIfChanged returns the certificate, after a reload if the files changed and checkInterval has passed. If the
// files can't be read, for example between the writes of the two files, the certificate in use is kept.
func (f *Files) reloadIfChanged(now time.Time) *tls.Certificate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.checked) < checkInterval {
		return f.certificate
	}
	f.checked = now
	versions, err := f.readVersions()
	if err == nil && versions != f.versions {
		if err = f.loadPair(versions); err == nil {
			klog.InfoS("Reloaded the TLS certificate", "file", f.certFile)
		}
	}
	if err != nil {
		klog.ErrorS(err, "Reloading the TLS certificate failed; keeping the certificate in use", "file", f.certFile)
	}
	return f.certificate
}

func (f *Files) readVersions() (versions [2]fileVersion, err error) {
	for i, name := range []string{f.certFile, f.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return versions, Error.Wrap(err)
		}
		versions[i] = fileVersion{info.ModTime(), info.Size()}
	}
	return versions, nil
}

func (f *Files) loadPair(versions [2]fileVersion) error {
	certificate, err := tls.LoadX509KeyPair(f.certFile, f.keyFile)
	if err != nil {
		return Error.Wrap(err)
	}
	f.certificate, f.versions = &certificate, versions
	return nil
}

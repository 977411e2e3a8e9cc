// Package tlsfiles serves TLS from certificate files and takes new ones into use when the files change.
package tlsfiles

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"k8s.io/klog/v2"
)

// Error is the class of the errors of this package.
var Error = errs.Class("tls files")

// checkInterval is the least time between looks at the files.
const checkInterval = time.Second

// Files is a certificate and its key in PEM files. Methods are safe for concurrent use.
type Files struct {
	certFile, keyFile string

	mu          sync.Mutex
	certificate *tls.Certificate
	stamp       [2]stamp
	checked     time.Time
}

// stamp identifies the content of a file.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files once; an error is a fault of the settings.
func Load(certFile, keyFile string) (*Files, error) {
	f := &Files{certFile: certFile, keyFile: keyFile}
	s, err := f.stamps()
	if err != nil {
		return nil, err
	}
	return f, f.read(s)
}

// Config returns a server configuration that uses the files.
func (f *Files) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		// The caller interface has HTTP/1.1 only, whose connections can be drained one by one.
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return f.current(time.Now()), nil
		},
	}
}

// current returns the certificate of the files. When they can't be read, as between the writes of the two files,
// the one in use stays.
func (f *Files) current(now time.Time) *tls.Certificate {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.checked) < checkInterval {
		return f.certificate
	}
	f.checked = now
	s, err := f.stamps()
	if err == nil && s != f.stamp {
		if err = f.read(s); err == nil {
			klog.InfoS("Took a new certificate into use", "file", f.certFile)
		}
	}
	if err != nil {
		klog.ErrorS(err, "Certificate files can't be read; the certificate in use stays", "file", f.certFile)
	}
	return f.certificate
}

func (f *Files) stamps() (s [2]stamp, err error) {
	for i, name := range []string{f.certFile, f.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return s, Error.Wrap(err)
		}
		s[i] = stamp{info.ModTime(), info.Size()}
	}
	return s, nil
}

func (f *Files) read(s [2]stamp) error {
	certificate, err := tls.LoadX509KeyPair(f.certFile, f.keyFile)
	if err != nil {
		return Error.Wrap(err)
	}
	f.certificate, f.stamp = &certificate, s
	return nil
}

package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeCertificate writes a self-signed certificate with the serial number and its key.
func writeCertificate(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	assert.NilError(t, os.WriteFile(certFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	assert.NilError(t, os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	return certFile, keyFile
}

// Guards against an old certificate that stays in use after the files were replaced, and against losing the certificate
// in use while the files are only partly written.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	f, err := Load(writeCertificate(t, dir, 1))
	assert.NilError(t, err)
	serial := func(now time.Time) int64 { return f.reloadIfChanged(now).Leaf.SerialNumber.Int64() }
	now := time.Now()
	assert.Equal(t, serial(now), int64(1))
	certFile, _ := writeCertificate(t, dir, 2)
	later := time.Now().Add(time.Minute)
	assert.NilError(t, os.Chtimes(certFile, later, later))
	assert.Equal(t, serial(now.Add(checkInterval/2)), int64(1))
	assert.Equal(t, serial(now.Add(2*checkInterval)), int64(2))
	assert.NilError(t, os.WriteFile(certFile, []byte("half"), 0o600))
	assert.Equal(t, serial(now.Add(4*checkInterval)), int64(2))
	_, err = Load(certFile, filepath.Join(dir, "none"))
	assert.ErrorContains(t, err, "none")
}

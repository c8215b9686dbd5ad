package keys

import (
	"bytes"
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
)

// MaxFileBytes is the most that a file of certificates may have, in bytes.
const MaxFileBytes = 1 << 20

func encodeKeyPair(cert []byte, key crypto.PrivateKey) ([]byte, error) {
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var b bytes.Buffer
	b.Write(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
	b.Write(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: raw}))
	return b.Bytes(), nil
}

func parseCertificates(file string, raw []byte) ([]*x509.Certificate, error) {
	if len(raw) > MaxFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", file, len(raw), MaxFileBytes)
	}
	var out []*x509.Certificate
	for len(raw) > 0 {
		var b *pem.Block
		if b, raw = pem.Decode(raw); b == nil {
			break
		}
		if b.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(b.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		out = append(out, c)
	}
	return out, nil
}

func loadKeyPair(file string) (tls.Certificate, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return tls.Certificate{}, err
	}
	c, err := tls.X509KeyPair(raw, raw)
	if err != nil {
		return c, fmt.Errorf("%s: %w", file, err)
	}
	return c, nil
}

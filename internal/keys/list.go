package keys

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// CertificateInfo is one for people.
type CertificateInfo struct {
	File     string    `json:"file"`
	Subject  string    `json:"who"`
	NotAfter time.Time `json:"until"`
}

// List lists the certificates of a folder; expired ones too.
func (f Folder) List() ([]CertificateInfo, error) {
	files, err := filepath.Glob(filepath.Join(string(f), "*.pem"))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var out []CertificateInfo
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		certs, err := parseCertificates(file, raw)
		if err != nil {
			return nil, err
		}
		for _, c := range certs {
			out = append(out, CertificateInfo{File: filepath.Base(file), Subject: c.Subject.CommonName, NotAfter: c.NotAfter})
		}
	}
	slices.SortStableFunc(out, func(a, b CertificateInfo) int { return strings.Compare(a.File, b.File) })
	return out, nil
}

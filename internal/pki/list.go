package pki

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// CertificateInfo describes a certificate in a folder. The command-line tool prints it as JSON.
type CertificateInfo struct {
	File     string    `json:"file"`  // file name without the folder
	Subject  string    `json:"who"`   // such as "agent a1" or "fleet haulage"
	NotAfter time.Time `json:"until"` // time at which the certificate expires
}

// List describes all certificates in the folder, expired ones included, sorted by file name. The list is empty if the
// folder does not exist.
func (f Folder) List() ([]CertificateInfo, error) {
	files, err := filepath.Glob(filepath.Join(string(f), "*.pem"))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var list []CertificateInfo
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		certificates, err := parseCertificates(file, content)
		if err != nil {
			return nil, err
		}
		for _, certificate := range certificates {
			list = append(list, CertificateInfo{
				File:     filepath.Base(file),
				Subject:  certificate.Subject.CommonName,
				NotAfter: certificate.NotAfter,
			})
		}
	}
	slices.SortStableFunc(list, func(a, b CertificateInfo) int { return strings.Compare(a.File, b.File) })
	return list, nil
}

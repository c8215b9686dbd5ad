package keys

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Certificate is one for people.
type Certificate struct {
	File  string    `json:"file"`
	Who   string    `json:"who"`
	Until time.Time `json:"until"`
}

// Show lists the certificates of a folder; expired ones too.
func (f Folder) Show() ([]Certificate, error) {
	files, err := filepath.Glob(filepath.Join(string(f), "*.pem"))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	var out []Certificate
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			return nil, fmt.Errorf("keys: %w", err)
		}
		certs, err := certificates(file, raw)
		if err != nil {
			return nil, err
		}
		for _, c := range certs {
			out = append(out, Certificate{File: filepath.Base(file), Who: c.Subject.CommonName, Until: c.NotAfter})
		}
	}
	slices.SortStableFunc(out, func(a, b Certificate) int { return strings.Compare(a.File, b.File) })
	return out, nil
}

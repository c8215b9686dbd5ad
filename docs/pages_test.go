package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fewestDottedNamesRead is how many names of functions the pages have at least; fewer would mean that they are not read.
const fewestDottedNamesRead = 40

var (
	dottedName = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*)(\.\w+)?$`)
	ownPath    = regexp.MustCompile(`^(cmd|deploy|docs|internal|service)/[\w./-]+$`)
	isFileName = map[string]bool{".go": true, ".html": true, ".json": true, ".md": true, ".sexp": true, ".toml": true}
	// Pages that tell what was once: their names are of their time.
	pagesOfTheirTime = map[string]bool{"results.md": true, "questions.md": true, "ROADMAP.md": true}
)

// declares tells whether a package has a symbol, or a method or field of that name on any of its types.
func (s *source) declares(folder, symbol string) bool {
	if s.symbols[folder][symbol] {
		return true
	}
	for declared := range s.symbols[folder] {
		if _, member, isMember := strings.Cut(declared, "."); isMember && member == symbol {
			return true
		}
	}
	return false
}

// unknownNames returns the names in a page that are paths of this repository without a file or folder, or of the form
// package.Symbol, with a package of this module that does not declare the symbol, and how many of both forms it read.
func (s *source) unknownNames(page string) (unknown []string, read int) {
	for _, quoted := range quotedName.FindAllStringSubmatch(page, -1) {
		if ownPath.MatchString(quoted[1]) {
			read++
			if _, err := os.Stat(filepath.Join(root, strings.TrimSuffix(quoted[1], "/..."))); err != nil {
				unknown = append(unknown, quoted[1])
			}
			continue
		}
		parts := dottedName.FindStringSubmatch(quoted[1])
		if parts == nil || isFileName[filepath.Ext(quoted[1])] {
			continue
		}
		folder, isPackage := s.packages[parts[1]]
		if !isPackage || strings.HasPrefix(folder, "cmd/") {
			continue
		}
		read++
		if !s.declares(folder, parts[2]+parts[3]) {
			unknown = append(unknown, quoted[1])
		}
	}
	return unknown, read
}

func TestPagesNamePathsAndFunctionsThatExist(t *testing.T) {
	s := readSource(t)
	pages, err := filepath.Glob("*.md")
	require.NoError(t, err)
	all := 0
	for _, page := range append(pages, "../README.md") {
		if pagesOfTheirTime[page] {
			continue
		}
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		unknown, read := s.unknownNames(string(text))
		assert.Empty(t, unknown, page)
		all += read
	}
	assert.GreaterOrEqual(t, all, fewestDottedNamesRead)

	unknown, _ := s.unknownNames("`internal/planted`, `internal/dispatcher`, `dispatcher.Planted`, `buffer.Chain.Planted`, `buffer.Chain`, `main.run`")
	assert.Equal(t, []string{"internal/planted", "dispatcher.Planted", "buffer.Chain.Planted"}, unknown)
}

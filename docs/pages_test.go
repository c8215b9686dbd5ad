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

// minNamesAndPathsRead is the least number of paths and dotted names that the pages must have. With fewer, the test probably
// misreads the pages.
const minNamesAndPathsRead = 40

var (
	dottedName     = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z]\w*)(\.\w+)?$`)
	repositoryPath = regexp.MustCompile(`^(cmd|deploy|docs|internal|service)/[\w./-]+$`)
	fileExtensions = map[string]bool{".go": true, ".html": true, ".json": true, ".md": true, ".sexp": true, ".toml": true}
	// Pages about the past, which may name what no longer exists.
	historicalPages = map[string]bool{"results.md": true, "questions.md": true, "ROADMAP.md": true}
)

// declares reports whether a package declares a symbol of that name, or a method or field of that name on any of its types.
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

// unknownNames checks the names in a page that are paths of this repository, or of the form package.Symbol with a package of
// this module. It returns those whose file, folder or symbol does not exist, and the number of names that it checked.
func (s *source) unknownNames(page string) (unknown []string, read int) {
	for _, quoted := range quotedName.FindAllStringSubmatch(page, -1) {
		if repositoryPath.MatchString(quoted[1]) {
			read++
			if _, err := os.Stat(filepath.Join(root, strings.TrimSuffix(quoted[1], "/..."))); err != nil {
				unknown = append(unknown, quoted[1])
			}
			continue
		}
		parts := dottedName.FindStringSubmatch(quoted[1])
		if parts == nil || fileExtensions[filepath.Ext(quoted[1])] {
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
	totalRead := 0
	for _, page := range append(pages, "../README.md") {
		if historicalPages[page] {
			continue
		}
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		unknown, read := s.unknownNames(string(text))
		assert.Empty(t, unknown, page)
		totalRead += read
	}
	assert.GreaterOrEqual(t, totalRead, minNamesAndPathsRead)

	unknown, _ := s.unknownNames("`internal/planted`, `internal/dispatcher`, `dispatcher.Planted`, `buffer.Chain.Planted`, `buffer.Chain`, `main.run`")
	assert.Equal(t, []string{"internal/planted", "dispatcher.Planted", "buffer.Chain.Planted"}, unknown)
}

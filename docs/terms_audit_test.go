package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	auditColumns = 8
	minAuditRows = 100 // with fewer rows the test probably misreads the page
)

var (
	auditID     = regexp.MustCompile(`^[A-Z]\d+$`)
	auditStatus = regexp.MustCompile(`^(holds|fixed: .+|open(: .+)?|not reached(: .+)?)$`)
	testName    = regexp.MustCompile(`\bTest[A-Z]\w+`)
)

// auditRow is one row of the audit's table.
type auditRow struct {
	id     string
	tests  string
	status string
}

// readAudit returns the rows of the audit's table.
func readAudit(t *testing.T) []auditRow {
	t.Helper()
	page, err := os.ReadFile("terms-audit.md")
	require.NoError(t, err)
	var rows []auditRow
	for line := range strings.SplitSeq(string(page), "\n") {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		id := strings.TrimSpace(cells[0])
		if !strings.HasPrefix(line, "| ") || id == "id" || id == "---" {
			continue
		}
		require.Len(t, cells, auditColumns, id)
		rows = append(rows, auditRow{id: id, tests: strings.TrimSpace(cells[6]), status: strings.TrimSpace(cells[7])})
	}
	return rows
}

// testFunctions returns the names of all functions in the module's test files.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	visit := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			if function, isFunction := declaration.(*ast.FuncDecl); isFunction {
				names[function.Name.Name] = true
			}
		}
		return nil
	}
	for _, top := range []string{"cmd", "docs", "internal", "service"} {
		require.NoError(t, filepath.WalkDir(filepath.Join(root, top), visit))
	}
	return names
}

// TestAuditNamesWhatExists checks that each row of the audit has a unique id and a known status. A row that is neither open nor
// unreached must name existing tests, or refer to a proof or to the bench.
func TestAuditNamesWhatExists(t *testing.T) {
	rows, exists := readAudit(t), testFunctions(t)
	require.Greater(t, len(rows), minAuditRows)
	seen := map[string]bool{}
	for _, row := range rows {
		assert.Regexp(t, auditID, row.id)
		assert.False(t, seen[row.id], "%s is the id of two rows", row.id)
		seen[row.id] = true
		assert.Regexp(t, auditStatus, row.status, row.id)
		tests := testName.FindAllString(row.tests, -1)
		for _, name := range tests {
			assert.True(t, exists[name], "%s: no test is named %s", row.id, name)
		}
		hasEvidence := len(tests) > 0 || strings.HasPrefix(row.tests, "by proof") || strings.HasPrefix(row.tests, "by the bench")
		unfinished := strings.HasPrefix(row.status, "open") || strings.HasPrefix(row.status, "not reached")
		assert.True(t, hasEvidence || unfinished, "%s names no test, proof or bench", row.id)
	}
}

// TestPolicyNamesEveryFileOfTheModule checks that policy in the deploy file lists every file of the routing module, which makes
// the decisions. Only doc.go, which holds the package comment, and tests are not listed.
func TestPolicyNamesEveryFileOfTheModule(t *testing.T) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	require.NoError(t, err)
	policy := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindStringSubmatch(string(deploy))
	require.NotNil(t, policy)
	files, err := filepath.Glob(filepath.Join(root, "internal", "router", "*.go"))
	require.NoError(t, err)
	for _, file := range files {
		name := filepath.Base(file)
		if name == "doc.go" || strings.HasSuffix(name, "_test.go") {
			continue
		}
		assert.Contains(t, policy[1], `"internal/router/`+name+`"`)
	}
}

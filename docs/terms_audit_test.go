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
	auditColumns    = 8
	fewestAuditRows = 100 // fewer would mean that the page is not read as it is written
)

var (
	auditID   = regexp.MustCompile(`^[A-Z]\d+$`)
	auditMark = regexp.MustCompile(`^(holds|fixed: .+|open(: .+)?|not reached(: .+)?)$`)
	testName  = regexp.MustCompile(`\bTest[A-Z]\w+`)
)

// auditRow is one row of the audit's table.
type auditRow struct {
	id    string
	tests string
	mark  string
}

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
		rows = append(rows, auditRow{id: id, tests: strings.TrimSpace(cells[6]), mark: strings.TrimSpace(cells[7])})
	}
	return rows
}

// testFunctions returns the names of all test functions of the module.
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

// Each row of the audit has an id of its own and a known mark, and one that holds or was fixed names tests that exist, or
// its proof, or the bench's plays.
func TestAuditNamesWhatExists(t *testing.T) {
	rows, exists := readAudit(t), testFunctions(t)
	require.Greater(t, len(rows), fewestAuditRows)
	seen := map[string]bool{}
	for _, row := range rows {
		assert.Regexp(t, auditID, row.id)
		assert.False(t, seen[row.id], "%s stands twice", row.id)
		seen[row.id] = true
		assert.Regexp(t, auditMark, row.mark, row.id)
		tests := testName.FindAllString(row.tests, -1)
		for _, name := range tests {
			assert.True(t, exists[name], "%s: no test is named %s", row.id, name)
		}
		shown := len(tests) > 0 || strings.HasPrefix(row.tests, "by proof") || strings.HasPrefix(row.tests, "by the bench")
		unfinished := strings.HasPrefix(row.mark, "open") || strings.HasPrefix(row.mark, "not reached")
		assert.True(t, shown || unfinished, "%s shows nothing", row.id)
	}
}

// Whatever decides stands under policy in the deploy file: every file of the module but its package comment.
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

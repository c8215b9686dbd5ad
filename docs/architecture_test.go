// Package docs checks that the files, packages, symbols, tests, counters and log messages that the pages name exist.
package docs

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	root            = ".."
	modulePath      = "stoatdale.example/stoatdale"
	testSeedFolder  = "internal/lab/fixed" // imported only by tests
	labelWidth      = 14                   // width of a diagram's first column, which holds the label of the layer
	maxGlossaryRows = 40
	minNamesRead    = 100 // with fewer names the test probably misreads the page
)

var (
	quotedName  = regexp.MustCompile("`([^`\n]+)`")
	symbolName  = regexp.MustCompile(`^[a-z][a-z0-9]*(\.\w+){0,2}$`)
	diagramName = regexp.MustCompile(`\b[a-z][a-z0-9]*\b`)
	codeBlock   = regexp.MustCompile("(?s)```.*?```")
)

// source holds what the module's source declares, imports and logs. Folders are relative to the root.
type source struct {
	packages map[string]string          // folder by the name of the package or, for a program, of its folder
	symbols  map[string]map[string]bool // declared names by folder, in the form "New", "Dispatcher" and "Dispatcher.RunTurn"
	imports  map[string]map[string]bool // imported folders of this module by importing folder
	messages map[string]bool            // log messages that the source passes to Msg as a literal
}

// readSource parses all Go files of the module but the tests.
func readSource(t *testing.T) source {
	t.Helper()
	s := source{packages: map[string]string{}, symbols: map[string]map[string]bool{}, imports: map[string]map[string]bool{}, messages: map[string]bool{}}
	for _, top := range []string{"cmd", "internal", "service"} {
		err := filepath.WalkDir(filepath.Join(root, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return s.addFile(path)
		})
		require.NoError(t, err)
	}
	return s
}

func (s *source) addFile(path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	folder, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		return err
	}
	folder = filepath.ToSlash(folder)
	if err := s.addPackage(file.Name.Name, folder); err != nil {
		return err
	}
	for _, imported := range file.Imports {
		if path, own := strings.CutPrefix(strings.Trim(imported.Path.Value, `"`), modulePath+"/"); own {
			s.imports[folder][path] = true
		}
	}
	s.addMessages(file)
	for _, declaration := range file.Decls {
		addDeclaration(s.symbols[folder], declaration)
	}
	return nil
}

// addPackage records the folder of a package under its name. A program is recorded under its folder's name, unless a package
// has that name. Two packages with one name are an error.
func (s *source) addPackage(name, folder string) error {
	if s.symbols[folder] != nil {
		return nil
	}
	s.symbols[folder], s.imports[folder] = map[string]bool{}, map[string]bool{}
	isProgram := name == "main"
	if isProgram {
		name = path.Base(folder)
	}
	earlier, taken := s.packages[name]
	switch {
	case !taken || strings.HasPrefix(earlier, "cmd/"):
		s.packages[name] = folder
	case !isProgram:
		return fmt.Errorf("two packages are named %s: %s and %s", name, earlier, folder)
	}
	return nil
}

// addMessages records the messages that a file logs: the literals that are passed to zerolog's Msg.
func (s *source) addMessages(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		call, isCall := n.(*ast.CallExpr)
		if !isCall || len(call.Args) != 1 {
			return true
		}
		method, isMethod := call.Fun.(*ast.SelectorExpr)
		text, isLiteral := call.Args[0].(*ast.BasicLit)
		if isMethod && isLiteral && method.Sel.Name == "Msg" {
			s.messages[strings.Trim(text.Value, `"`)] = true
		}
		return true
	})
}

func addDeclaration(symbols map[string]bool, declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			symbols[d.Name.Name] = true
			return
		}
		symbols[receiverType(d.Recv.List[0].Type)+"."+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch x := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range x.Names {
					symbols[name.Name] = true
				}
			case *ast.TypeSpec:
				addType(symbols, x)
			}
		}
	}
}

func addType(symbols map[string]bool, spec *ast.TypeSpec) {
	symbols[spec.Name.Name] = true
	var members *ast.FieldList
	switch x := spec.Type.(type) {
	case *ast.StructType:
		members = x.Fields
	case *ast.InterfaceType:
		members = x.Methods
	default:
		return
	}
	for _, field := range members.List {
		for _, name := range field.Names {
			symbols[spec.Name.Name+"."+name.Name] = true
		}
	}
}

// receiverType returns the name of the type of a method's receiver.
func receiverType(expr ast.Expr) string {
	switch x := expr.(type) {
	case *ast.StarExpr:
		return receiverType(x.X)
	case *ast.IndexExpr:
		return receiverType(x.X)
	case *ast.Ident:
		return x.Name
	default:
		return ""
	}
}

// check returns an error if a name is not that of an existing file, folder, package or symbol of a package.
func (s *source) check(name string) error {
	if strings.Contains(name, "/") {
		if _, err := os.Stat(filepath.Join(root, name)); err != nil {
			return fmt.Errorf("%s: there is no such file or folder", name)
		}
		return nil
	}
	if !symbolName.MatchString(name) {
		return fmt.Errorf("%s is not written as a package or as package.Symbol", name)
	}
	pkg, symbol, hasSymbol := strings.Cut(name, ".")
	folder, found := s.packages[pkg]
	switch {
	case !found:
		return fmt.Errorf("%s: there is no package %s", name, pkg)
	case hasSymbol && !s.symbols[folder][symbol]:
		return fmt.Errorf("%s: %s declares no %s", name, folder, symbol)
	}
	return nil
}

// diagramRows returns the names in each row of a page's diagrams, from the top down. A line without a label continues the row
// above it.
func diagramRows(page string) [][]string {
	var rows [][]string
	for _, diagram := range codeBlock.FindAllString(page, -1) {
		for _, line := range strings.Split(diagram, "\n") {
			if len(line) < labelWidth {
				continue
			}
			names := diagramName.FindAllString(line[labelWidth:], -1)
			if last := len(rows) - 1; last >= 0 && strings.TrimSpace(line[:labelWidth]) == "" {
				rows[last] = append(rows[last], names...)
				continue
			}
			rows = append(rows, names)
		}
	}
	return rows
}

// checkLayers returns an error for each package that a page's diagrams do not show, and for each import of a package that they
// show above the importing package. A name shown twice, for a program and for a package, has the layer of its last row.
func (s *source) checkLayers(page string) (errs []error) {
	layers := map[string]int{} // layer by the package's folder; 0 is the top
	for layer, row := range diagramRows(page) {
		for _, name := range row {
			layers[s.packages[name]] = layer
		}
	}
	for name, folder := range s.packages {
		if folder == testSeedFolder {
			continue
		}
		layer, shown := layers[folder]
		if !shown {
			errs = append(errs, fmt.Errorf("%s is not in the layer diagram", name))
		}
		for imported := range s.imports[folder] {
			if layers[imported] < layer {
				errs = append(errs, fmt.Errorf("%s imports %s, which is in a layer above it", folder, imported))
			}
		}
	}
	return errs
}

// checkPage returns the names in a page's text and diagrams, and an error for each name that does not exist.
func (s *source) checkPage(page string) (names []string, errs []error) {
	for _, row := range diagramRows(page) {
		names = append(names, row...)
	}
	for _, quoted := range quotedName.FindAllStringSubmatch(codeBlock.ReplaceAllString(page, ""), -1) {
		names = append(names, quoted[1])
	}
	for _, name := range names {
		if err := s.check(name); err != nil {
			errs = append(errs, err)
		}
	}
	return names, errs
}

func TestArchitecturePageNamesWhatExists(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	s := readSource(t)
	names, errs := s.checkPage(string(page))
	assert.Empty(t, errs)
	assert.GreaterOrEqual(t, len(names), minNamesRead)
}

func TestEveryPackageIsOnTheArchitecturePage(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	for _, folder := range readSource(t).packages {
		if folder != testSeedFolder {
			assert.Contains(t, string(page), "`"+folder+"`")
		}
	}
}

func TestPackagesImportOnlyTheirLayerAndBelow(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	s := readSource(t)
	assert.Empty(t, s.checkLayers(string(page)))

	const (
		containersRow = " containers   buffer  idtable"
		ioRowEnd      = "api  store                     testserver  experiment"
	)
	require.Equal(t, 1, strings.Count(string(page), containersRow), "row %q of the layer diagram", containersRow)
	require.Equal(t, 1, strings.Count(string(page), ioRowEnd), "row end %q of the layer diagram", ioRowEnd)

	wrongDiagram := strings.Replace(string(page), containersRow, " containers   testserver  idtable", 1)
	wrongDiagram = strings.Replace(wrongDiagram, ioRowEnd, "api  store                     buffer  experiment", 1)
	errs := s.checkLayers(wrongDiagram)
	require.NotEmpty(t, errs, "a wrong diagram is an error")
	require.ErrorContains(t, errors.Join(errs...), "internal/pg imports internal/buffer, which is in a layer above it")
	require.NotContains(t, errors.Join(errs...).Error(), "is not in the layer diagram", "the swap keeps every name")
	withoutBuffer := strings.Replace(string(page), containersRow, " containers   idtable", 1)
	require.ErrorContains(t, errors.Join(s.checkLayers(withoutBuffer)...), "buffer is not in the layer diagram")
}

func TestGlossaryIsShort(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	require.NoError(t, err)
	_, glossary, found := strings.Cut(string(page), "## Glossary")
	require.True(t, found)
	rows := strings.Count(glossary, "\n| ") - 2 // without the table's header and the line below it
	assert.Positive(t, rows)
	assert.LessOrEqual(t, rows, maxGlossaryRows)
}

func TestNameThatDoesNotExistIsAnError(t *testing.T) {
	s := readSource(t)
	page := "A `dispatcher.Dispatcher.RunTurn` in `internal/dispatcher`.\n\n```\n programs     stoatdale\n```\n"
	_, errs := s.checkPage(page)
	assert.Empty(t, errs)
	for plantedText, wantError := range map[string]string{
		"`dispatcher.Dispatcher.Planted`":   "declares no Dispatcher.Planted",
		"`dispatcher.Planted`":              "declares no Planted",
		"`planted.Core`":                    "there is no package planted",
		"`internal/planted`":                "there is no such file or folder",
		"`internal/dispatcher/planted.go`":  "there is no such file or folder",
		"`Planted`":                         "is not written as a package",
		"```\n programs     planted\n```\n": "there is no package planted",
	} {
		_, errs := s.checkPage(page + plantedText)
		require.Len(t, errs, 1, plantedText)
		assert.ErrorContains(t, errs[0], wantError)
	}
}

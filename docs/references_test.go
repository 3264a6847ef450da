package docs_test

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
)

// historicalPages are pages that record past work. The names on them may no longer exist.
var historicalPages = map[string]bool{"results.md": true}

var (
	testName = regexp.MustCompile(`\b(?:Test|Fuzz|Example)[A-Z]\w*`)
	goFile   = regexp.MustCompile("`((?:\\w+/)+\\w+\\.go)`")
	pageLink = regexp.MustCompile(`\]\(([^)#]+)[^)]*\)`)
)

// camelCase matches code spans that name a Go identifier, such as closeWhenAcked or Tracker.ClientGone.
var camelCase = regexp.MustCompile(`^(?:\w+\.)?[A-Za-z]+[A-Z][a-z]\w*$`)

// foreignNames are code spans that match camelCase but do not name a Go identifier.
var foreignNames = map[string]bool{}

// TestIdentifiers checks that the identifiers in architecture.md and endings.md are declared in the program.
func TestIdentifiers(t *testing.T) {
	declared := declaredNames(t)
	for _, page := range []string{"architecture.md", "endings.md"} {
		for _, span := range codeSpans(readPage(t, page)) {
			if !camelCase.MatchString(span) || foreignNames[span] {
				continue
			}
			name := span[strings.LastIndex(span, ".")+1:]
			if !declared[name] {
				t.Errorf("%s names %s, which is not declared", page, span)
			}
		}
	}
}

// TestReferences checks that the tests, Go files and pages that the pages name exist.
func TestReferences(t *testing.T) {
	pages, err := filepath.Glob("*.md")
	if err != nil {
		t.Fatal(err)
	}
	tests := testFunctions(t)
	for _, page := range pages {
		if historicalPages[page] {
			continue
		}
		text := readPage(t, page)
		for _, name := range testName.FindAllString(text, -1) {
			if !tests[name] {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
		for _, match := range goFile.FindAllStringSubmatch(text, -1) {
			checkFile(t, page, filepath.Join("..", match[1]))
		}
		for _, match := range pageLink.FindAllStringSubmatch(text, -1) {
			checkFile(t, page, match[1])
		}
	}
}

func checkFile(t *testing.T, page, path string) {
	t.Helper()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("%s: %v", page, err)
	}
}

// testFunctions returns the names of all tests, fuzz targets and examples.
func testFunctions(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	visitGoFiles(t, token.NewFileSet(), func(path string, file *ast.File) {
		if !strings.HasSuffix(path, "_test.go") {
			return
		}
		for _, declaration := range file.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil {
				names[function.Name.Name] = true
			}
		}
	})
	return names
}

// declaredNames returns the names of all functions, methods, types, constants, variables and fields of the program.
func declaredNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	visitGoFiles(t, token.NewFileSet(), func(path string, file *ast.File) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		ast.Inspect(file, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.FuncDecl:
				names[node.Name.Name] = true
			case *ast.TypeSpec:
				names[node.Name.Name] = true
			case *ast.ValueSpec:
				addNames(names, node.Names)
			case *ast.Field:
				addNames(names, node.Names)
			}
			return true
		})
	})
	return names
}

func addNames(names map[string]bool, identifiers []*ast.Ident) {
	for _, identifier := range identifiers {
		names[identifier.Name] = true
	}
}

// visitGoFiles calls visit for every Go file of the program and its tests.
func visitGoFiles(t *testing.T, fileSet *token.FileSet, visit func(path string, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(fileSet, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		visit(path, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Package fuzzcorpus maintains the inputs of the fuzz targets of a source tree, which are stored under testdata/fuzz.
// It replays, extends and minimises the corpora, measures their coverage, and checks by mutations of the code that the
// targets find faults. It runs the go command. The files are in the format of the go command ("go test fuzz v1",
// followed by one Go literal per line).
//
// The package is a development tool that no instance uses. Its functions may be called from any goroutine, but only one
// at a time for each source tree.
package fuzzcorpus

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// fuzzPrefix is the prefix of the names of all fuzz targets.
const fuzzPrefix = "Fuzz"

// Target is one fuzz target.
type Target struct {
	Package string   // directory relative to the root, with slashes
	Name    string   // such as FuzzDecode
	Types   []string // types of the values of an input
}

// String returns the package and the name.
func (t Target) String() string { return t.Package + " " + t.Name }

// Directory returns the directory of the target's inputs.
func (t Target) Directory(root string) string {
	return filepath.Join(t.packageDirectory(root), "testdata", "fuzz", t.Name)
}

func (t Target) packageDirectory(root string) string {
	return filepath.Join(root, filepath.FromSlash(t.Package))
}

// Files returns the file names of the target's inputs. A target without a directory has none.
func (t Target) Files(root string) ([]string, error) {
	entries, err := os.ReadDir(t.Directory(root))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, err
}

// Find returns the targets below a root whose name or package matches the regular expression pattern, sorted by package
// and name. An empty pattern matches all targets. Find returns an error if no target matches.
func Find(root, pattern string) ([]Target, error) {
	match, err := regexp.Compile(pattern)
	if err != nil {
		return nil, err
	}
	files, err := findTestFiles(root)
	if err != nil {
		return nil, err
	}
	var targets []Target
	for _, path := range files {
		found, err := targetsOf(root, path)
		if err != nil {
			return nil, err
		}
		for _, t := range found {
			if match.MatchString(t.Name) || match.MatchString(t.Package) {
				targets = append(targets, t)
			}
		}
	}
	if len(targets) == 0 {
		return nil, fmt.Errorf("fuzzcorpus: no fuzz target below %s matches %q", root, pattern)
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.String(), b.String()) })
	return targets, nil
}

// findTestFiles returns the paths of all test files below a root.
func findTestFiles(root string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && path != root && isSkipped(entry.Name()):
			return filepath.SkipDir
		case !entry.IsDir() && strings.HasSuffix(path, "_test.go"):
			files = append(files, path)
		}
		return nil
	})
	return files, err
}

// isSkipped reports whether directories of this name are not searched for test files.
func isSkipped(name string) bool { return name == "testdata" || strings.HasPrefix(name, ".") }

// targetsOf returns the targets that a test file declares.
func targetsOf(root, path string) ([]Target, error) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	directory, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	var targets []Target
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Recv != nil || !strings.HasPrefix(function.Name.Name, fuzzPrefix) {
			continue
		}
		t := Target{Package: filepath.ToSlash(directory), Name: function.Name.Name, Types: inputTypes(function)}
		if len(t.Types) > 0 {
			targets = append(targets, t)
		}
	}
	return targets, nil
}

// inputTypes returns the types of the parameters, after the *testing.T, of the function that a target passes to Fuzz.
func inputTypes(target *ast.FuncDecl) []string {
	var types []string
	ast.Inspect(target, func(node ast.Node) bool {
		function := fuzzedFunction(node)
		if function == nil {
			return true
		}
		for _, parameter := range function.Type.Params.List[1:] {
			for range parameter.Names {
				types = append(types, typeName(parameter.Type))
			}
		}
		return false
	})
	return types
}

// fuzzedFunction returns the function literal of a call x.Fuzz(func...), or nil if the node is not such a call.
func fuzzedFunction(node ast.Node) *ast.FuncLit {
	call, ok := node.(*ast.CallExpr)
	if !ok || len(call.Args) != 1 {
		return nil
	}
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || selector.Sel.Name != fuzzPrefix {
		return nil
	}
	function, _ := call.Args[0].(*ast.FuncLit)
	return function
}

// typeName returns the source text of a type that the go command can fuzz, or "?" for other types.
func typeName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.ArrayType:
		return "[]" + typeName(e.Elt)
	}
	return "?"
}

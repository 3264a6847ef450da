// Package fuzzcorpus keeps what the fuzz targets of a source tree have learnt: it replays, grows, minimises and measures
// the inputs under testdata/fuzz, and tries the targets themselves by sabotage. It drives the go command; the files
// are in its format ("go test fuzz v1", one Go literal a line).
package fuzzcorpus

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"math/bits"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"golang.org/x/tools/cover"
)

// Encoding is the first line of every corpus file.
const Encoding = "go test fuzz v1"

// Target is one fuzz target.
type Target struct {
	Package string   // directory below the root, with slashes
	Name    string   // such as FuzzDecode
	Types   []string // of an input's values
}

func (t Target) String() string { return t.Package + " " + t.Name }

// Directory is where a target's inputs are.
func (t Target) Directory(root string) string {
	return filepath.Join(root, filepath.FromSlash(t.Package), "testdata", "fuzz", t.Name)
}

// Find lists the targets below a root whose name, or whose package's, matches; an empty pattern matches all.
func Find(root, pattern string) (targets []Target, err error) {
	match, err := regexp.Compile(pattern)
	if err != nil {
		return nil, err
	}
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case d.IsDir() && (d.Name() == "testdata" || strings.HasPrefix(d.Name(), ".") && path != root):
			return filepath.SkipDir
		case d.IsDir() || !strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		directory, err := filepath.Rel(root, filepath.Dir(path))
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil && strings.HasPrefix(f.Name.Name, "Fuzz") {
				t := Target{Package: filepath.ToSlash(directory), Name: f.Name.Name, Types: values(f)}
				if len(t.Types) > 0 && (match.MatchString(t.Name) || match.MatchString(t.Package)) {
					targets = append(targets, t)
				}
			}
		}
		return nil
	})
	sort.Slice(targets, func(i, j int) bool { return targets[i].String() < targets[j].String() })
	if err == nil && len(targets) == 0 {
		err = fmt.Errorf("corpus: no fuzz target below %s matches %q", root, pattern)
	}
	return targets, err
}

// values are the types of the function that a target hands to Fuzz, after the *testing.T.
func values(f *ast.FuncDecl) (types []string) {
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) != 1 {
			return true
		}
		s, ok := call.Fun.(*ast.SelectorExpr)
		body, isFunc := call.Args[0].(*ast.FuncLit)
		if !ok || !isFunc || s.Sel.Name != "Fuzz" {
			return true
		}
		for _, p := range body.Type.Params.List[1:] {
			for range p.Names {
				types = append(types, spell(p.Type))
			}
		}
		return false
	})
	return types
}

func spell(e ast.Expr) string {
	switch e := e.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.ArrayType:
		return "[]" + spell(e.Elt)
	}
	return "?"
}

// Files are a target's inputs by name.
func (t Target) Files(root string) (names []string, err error) {
	list, err := os.ReadDir(t.Directory(root))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, f := range list {
		names = append(names, f.Name())
	}
	return names, err
}

var literal = regexp.MustCompile(`^([a-z0-9\[\]]+)\((.*)\)$`)

// aliases are spellings of one type.
var aliases = map[string]string{"uint8": "byte", "int32": "rune"}

func alias(kind string) string {
	if a, ok := aliases[kind]; ok {
		return a
	}
	return kind
}

// zero is the literal of a type's zero value.
func zero(kind string) string {
	switch kind {
	case "string", "[]byte":
		return kind + `("")`
	case "bool":
		return "bool(false)"
	case "byte", "rune":
		return kind + `('\x00')`
	}
	return kind + "(0)"
}

// errOldList tells that a file holds other values than its target takes now.
var errOlder = errors.New("written for an older version of its target")

// Check tells whether the text of an input is one for the target: errOldList where its values are others.
func (t Target) Check(text []byte) error {
	_, err := t.Upgrade(text)
	return err
}

// Upgrade rewrites an input of an older version: the values it has go, in their order, to the first values of their
// types, the others become zero. It returns errOldList with the new text, and no text where the values don't fit.
func (t Target) Upgrade(text []byte) ([]byte, error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, 16<<20)
	if !lines.Scan() || strings.TrimSpace(lines.Text()) != Encoding {
		return nil, fmt.Errorf("the first line is not %q: an encoding that is not known", Encoding)
	}
	var have []string
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		if literal.FindStringSubmatch(line) == nil {
			return nil, fmt.Errorf("line %d is no value, such as []byte(\"...\")", len(have)+2)
		}
		have = append(have, line)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	var out []string
	rest, same := have, len(have) == len(t.Types)
	for _, kind := range t.Types {
		if len(rest) > 0 && alias(literal.FindStringSubmatch(rest[0])[1]) == alias(kind) {
			out, rest = append(out, rest[0]), rest[1:]
			continue
		}
		out, same = append(out, zero(alias(kind))), false
	}
	if same {
		return text, nil
	}
	if len(rest) > 0 {
		return nil, fmt.Errorf("%w: %d of its values have no place among %s", errOlder, len(rest), strings.Join(t.Types, ", "))
	}
	return []byte(Encoding + "\n" + strings.Join(out, "\n") + "\n"), fmt.Errorf("%w: it has %d of %s", errOlder, len(have), strings.Join(t.Types, ", "))
}

// Fault is an input that is not one, or that its target fails on.
type Fault struct {
	Target Target
	File   string
	Reason string
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s: %s", f.Target, f.File, f.Reason)
}

// older looks for inputs that are none, and rewrites those of an older version if told to.
func older(root string, t Target, rewrite bool) (faults []Fault, upgraded int, err error) {
	names, err := t.Files(root)
	for _, name := range names {
		path := filepath.Join(t.Directory(root), name)
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, 0, err
		}
		fresh, why := t.Upgrade(text)
		switch {
		case why == nil:
		case rewrite && fresh != nil:
			if err := os.WriteFile(path, fresh, 0o644); err != nil {
				return nil, 0, err
			}
			upgraded++
		default:
			faults = append(faults, Fault{t, path, why.Error()})
		}
	}
	return faults, upgraded, err
}

// Result is what became of a target.
type Result struct {
	Target   Target
	Files    int
	Bytes    int64
	Took     time.Duration
	Tried    int64    // inputs, by Grow
	Added    []string // files, by Grow
	Dropped  []string // files, by Minimise
	Upgraded int
	Seeds    float64 // share of the package's statements that the seeds in the source reach
	Covered  float64 // and with the corpus
	Crash    string  // the file of a new finding
	Faults   []Fault
}

func (t Target) size(root string, r *Result) error {
	names, err := t.Files(root)
	for _, name := range names {
		info, err := os.Stat(filepath.Join(t.Directory(root), name))
		if err != nil {
			return err
		}
		r.Files++
		r.Bytes += info.Size()
	}
	return err
}

// command runs the go command, or a test binary, in the root.
func command(ctx context.Context, directory, name string, arguments ...string) (string, error) {
	c := exec.CommandContext(ctx, name, arguments...)
	c.Dir = directory
	c.WaitDelay = 5 * time.Second
	b, err := c.CombinedOutput()
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return string(b), err
}

// build compiles a target's test binary, with its package's coverage where wanted, and returns its path.
func build(ctx context.Context, root string, t Target, into string, flags ...string) (string, error) {
	binary := filepath.Join(into, strings.ReplaceAll(t.Package, "/", "-")+".test")
	out, err := command(ctx, root, "go", append(append([]string{"test", "-c", "-o", binary}, flags...), "./"+t.Package)...)
	if err != nil {
		return "", fmt.Errorf("corpus: building the tests of %s: %w\n%s", t.Package, err, out)
	}
	return binary, nil
}

// Replay runs every input through its target. Faults are in the results, failures to run them are errors.
func Replay(ctx context.Context, root string, targets []Target, done func(Result)) error {
	for _, t := range targets {
		r := Result{Target: t}
		err := t.size(root, &r)
		if err == nil {
			r.Faults, _, err = older(root, t, false)
		}
		if err != nil {
			return err
		}
		if len(r.Faults) == 0 {
			began := time.Now()
			out, err := command(ctx, root, "go", "test", "-count=1", "-run", "^"+t.Name+"$", "./"+t.Package)
			if err != nil && ctx.Err() != nil {
				return err
			}
			if r.Took = time.Since(began); err != nil {
				r.Faults = append(r.Faults, Fault{t, failing(t, out), out})
			}
		}
		done(r)
	}
	return nil
}

// failing is the file that the output of a test names as failed.
func failing(t Target, out string) string {
	if m := regexp.MustCompile(`--- FAIL: ` + t.Name + `/(\S+)`).FindStringSubmatch(out); m != nil {
		return m[1]
	}
	return ""
}

var (
	written = regexp.MustCompile(`Failing input written to (\S+)`)
	execs   = regexp.MustCompile(`execs: (\d+)`)
)

// Grow fuzzes each target for a span and keeps the inputs that reached something new and are no longer than most
// bytes. A crash is kept under a name of its own, so that every later run of the target plays it; the target is then
// left as it is.
func Grow(ctx context.Context, root string, targets []Target, span time.Duration, workers int, most int64, done func(Result)) error {
	cache, err := command(ctx, root, "go", "env", "GOCACHE")
	if err != nil {
		return err
	}
	module, err := command(ctx, root, "go", "list", "-m")
	if err != nil {
		return err
	}
	for _, t := range targets {
		r := Result{Target: t}
		if r.Faults, r.Upgraded, err = older(root, t, true); err != nil {
			return err
		}
		began := time.Now()
		out, err := command(ctx, root, "go", "test", "-run", "^$", "-fuzz", "^"+t.Name+"$", "-fuzztime", span.String(), "-fuzzminimizetime", "20x",
			"-parallel", strconv.Itoa(workers), "./"+t.Package)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.Took = time.Since(began)
		if all := execs.FindAllStringSubmatch(out, -1); len(all) > 0 {
			r.Tried, _ = strconv.ParseInt(all[len(all)-1][1], 10, 64)
		}
		if m := written.FindStringSubmatch(out); m != nil {
			old := filepath.Join(root, filepath.FromSlash(t.Package), filepath.FromSlash(m[1]))
			name := "crash-" + filepath.Base(old)
			if err := os.Rename(old, filepath.Join(filepath.Dir(old), name)); err != nil {
				return err
			}
			r.Crash = name
			r.Faults = append(r.Faults, Fault{t, name, out})
		} else if err != nil {
			return fmt.Errorf("corpus: %s: %w\n%s", t, err, out)
		}
		from := filepath.Join(strings.TrimSpace(cache), "fuzz", strings.TrimSpace(module), filepath.FromSlash(t.Package), t.Name)
		if r.Added, err = t.adopt(root, from, most); err != nil {
			return err
		}
		if err := t.size(root, &r); err != nil {
			return err
		}
		done(r)
	}
	return nil
}

// adopt copies the inputs of a directory that are for the target, not too long, and not there yet.
func (t Target) adopt(root, from string, most int64) (added []string, err error) {
	list, err := os.ReadDir(from)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(t.Directory(root), 0o755); err != nil {
		return nil, err
	}
	for _, f := range list {
		to := filepath.Join(t.Directory(root), f.Name())
		if _, err := os.Stat(to); err == nil {
			continue
		}
		text, err := os.ReadFile(filepath.Join(from, f.Name()))
		if err != nil {
			return added, err
		}
		if int64(len(text)) > most || t.Check(text) != nil {
			continue
		}
		if err := os.WriteFile(to, text, 0o644); err != nil {
			return added, err
		}
		added = append(added, f.Name())
	}
	return added, nil
}

// block is a statement block of a profile. Often is 0 for a block as such, else how many binary digits the count of
// its runs has: an input that runs a loop more often reaches something new.
type block struct {
	file                       string
	line, column, toLine, toCo int
	often                      int
}

// reach is which blocks a profile counts as run, and how often, with the statements of all.
func reach(profile string) (run map[block]int, all map[block]int, err error) {
	profiles, err := cover.ParseProfiles(profile)
	run, all = map[block]int{}, map[block]int{}
	for _, p := range profiles {
		for _, b := range p.Blocks {
			k := block{p.FileName, b.StartLine, b.StartCol, b.EndLine, b.EndCol, 0}
			if all[k] = b.NumStmt; b.Count > 0 {
				run[k] = b.NumStmt
				k.often = bits.Len(uint(b.Count))
				run[k] = 0
			}
		}
	}
	return run, all, err
}

func share(run, all map[block]int) float64 {
	part, whole := 0, 0
	for k, n := range all {
		whole += n
		part += run[k]
	}
	return float64(part) / float64(max(whole, 1))
}

// measure runs inputs that match and returns what they reach. The root's own corpus is what the binary reads.
func measure(ctx context.Context, root, binary string, t Target, match, into string) (run, all map[block]int, err error) {
	profile := filepath.Join(into, "profile")
	out, err := command(ctx, filepath.Join(root, filepath.FromSlash(t.Package)), binary, "-test.run", "^"+t.Name+"$/"+match, "-test.coverprofile", profile)
	if err != nil {
		return nil, nil, fmt.Errorf("corpus: %s: %w\n%s", t, err, out)
	}
	return reach(profile)
}

// Stats measures how much of its package's statements each target reaches, by the seeds in its source alone and with
// the corpus.
func Stats(ctx context.Context, root string, targets []Target, done func(Result)) error {
	into, err := os.MkdirTemp("", "corpus")
	if err != nil {
		return err
	}
	defer os.RemoveAll(into)
	for _, t := range targets {
		r := Result{Target: t}
		if err := t.size(root, &r); err != nil {
			return err
		}
		binary, err := build(ctx, root, t, into, "-covermode=count")
		if err != nil {
			return err
		}
		run, all, err := measure(ctx, root, binary, t, "^seed#", into)
		if err != nil {
			return err
		}
		r.Seeds = share(run, all)
		if run, all, err = measure(ctx, root, binary, t, "", into); err != nil {
			return err
		}
		r.Covered = share(run, all)
		done(r)
	}
	return nil
}

var hashed = regexp.MustCompile(`^[0-9a-f]{16}$`)

// Minimise drops the inputs that reach nothing that the seeds and the inputs kept before do not reach, the shortest
// tried first. Inputs with names of their own stay, whatever they reach: they are findings.
func Minimise(ctx context.Context, root string, targets []Target, done func(Result)) error {
	into, err := os.MkdirTemp("", "corpus")
	if err != nil {
		return err
	}
	defer os.RemoveAll(into)
	for _, t := range targets {
		r := Result{Target: t}
		if r.Faults, r.Upgraded, err = older(root, t, true); err != nil {
			return err
		}
		binary, err := build(ctx, root, t, into, "-covermode=count")
		if err != nil {
			return err
		}
		covered, all, err := measure(ctx, root, binary, t, "^seed#", into)
		if err != nil {
			return err
		}
		r.Seeds = share(covered, all)
		names, err := t.Files(root)
		if err != nil {
			return err
		}
		size := func(name string) int64 {
			info, err := os.Stat(filepath.Join(t.Directory(root), name))
			if err != nil {
				return 0
			}
			return info.Size()
		}
		slices.SortFunc(names, func(a, b string) int {
			if hashed.MatchString(a) != hashed.MatchString(b) { // named ones first
				if hashed.MatchString(a) {
					return 1
				}
				return -1
			}
			return int(size(a) - size(b))
		})
		for _, name := range names {
			run, _, err := measure(ctx, root, binary, t, "^"+regexp.QuoteMeta(name)+"$", into)
			if err != nil {
				return err
			}
			fresh := false
			for k, n := range run {
				if _, ok := covered[k]; !ok {
					covered[k], fresh = n, true
				}
			}
			if !fresh && hashed.MatchString(name) {
				if err := os.Remove(filepath.Join(t.Directory(root), name)); err != nil {
					return err
				}
				r.Dropped = append(r.Dropped, name)
			}
		}
		r.Covered = share(covered, all)
		if err := t.size(root, &r); err != nil {
			return err
		}
		done(r)
	}
	return nil
}

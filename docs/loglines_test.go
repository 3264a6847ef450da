// Package docs_test checks that the pages in docs agree with the program.
package docs_test

import (
	"go/ast"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logLine is a log message of the program, with the fields that any of its calls adds and the positions of the calls.
type logLine struct {
	fields    map[string]bool
	positions []string
}

// pagesByPackage maps a package to the page that must have its log lines. Log lines of other packages may be on either
// page.
var pagesByPackage = map[string]string{"gateway": "operators.md", "scheduler": "platform.md"}

// TestLogLines checks that operators.md and platform.md have a row for each log line of the program and name each of
// its fields. They must not have rows or fields of log lines that do not exist.
func TestLogLines(t *testing.T) {
	lines := programLogLines(t)
	if len(lines) < 20 {
		t.Fatalf("only %d log lines found in the program", len(lines))
	}
	rows := append(pageRows(t, "operators.md"), pageRows(t, "platform.md")...)
	for message, line := range lines {
		checkDocumented(t, message, line, rows)
	}
	for _, row := range rows {
		checkExists(t, row, lines)
	}
}

// checkDocumented checks that a log line has a row on the page of its package, and that its rows name its fields.
func checkDocumented(t *testing.T, message string, line *logLine, rows []logRow) {
	t.Helper()
	pages, spans := map[string]bool{}, map[string]bool{}
	for _, row := range rows {
		if row.message == message {
			pages[row.page] = true
			maps.Copy(spans, row.spans)
		}
	}
	if len(pages) == 0 {
		t.Errorf("%s: %q has no row in operators.md or platform.md", line.positions, message)
		return
	}
	for _, position := range line.positions {
		if page := pagesByPackage[filepath.Base(filepath.Dir(position))]; page != "" && !pages[page] {
			t.Errorf("%s: %q has no row in %s", position, message, page)
		}
	}
	for field := range line.fields {
		if !spans[field] {
			t.Errorf("%s: no row for %q names the field %q", line.positions, message, field)
		}
	}
}

// checkExists checks that the program logs the line of a row with the fields in its first cell.
func checkExists(t *testing.T, row logRow, lines map[string]*logLine) {
	t.Helper()
	line, ok := lines[row.message]
	if !ok {
		t.Errorf("%s: the program does not log %q", row.page, row.message)
		return
	}
	for _, field := range row.fields {
		if !line.fields[field] {
			t.Errorf("%s: the program does not log %q with a field %q", row.page, row.message, field)
		}
	}
}

// TestOncallLogLines checks that oncall.md quotes only log lines that exist.
func TestOncallLogLines(t *testing.T) {
	lines := programLogLines(t)
	quoted := 0
	for _, span := range codeSpans(readPage(t, "oncall.md")) {
		if !strings.Contains(span, " ") || strings.ContainsAny(span, ":<-") || strings.HasPrefix(span, "honeyplank ") {
			continue // not a log line
		}
		quoted++
		if lines[span] == nil && span != "disk-servers digests" {
			t.Errorf("oncall.md quotes %q, which the program does not log", span)
		}
	}
	if quoted == 0 {
		t.Error("oncall.md quotes no log line")
	}
}

// TestParsers checks the functions that find code spans and rows in a page.
func TestParsers(t *testing.T) {
	spans := codeSpans("a `one` b `two\n  three` c")
	if !slices.Equal(spans, []string{"one", "two three"}) {
		t.Errorf("unexpected code spans: %q", spans)
	}
	row, ok := parseRow("page.md", "| `a line` (debug) with `server`, `error` | of `other` |")
	if !ok || row.message != "a line" || !slices.Equal(row.fields, []string{"server", "error"}) || !row.spans["other"] {
		t.Errorf("unexpected row: %+v", row)
	}
	if _, ok := parseRow("page.md", "| line | meaning |"); ok {
		t.Error("parseRow accepts a table heading as a row")
	}
}

// programLogLines returns the log lines of all Go files that are not tests, by message.
func programLogLines(t *testing.T) map[string]*logLine {
	t.Helper()
	lines := map[string]*logLine{}
	fileSet := token.NewFileSet()
	visitGoFiles(t, fileSet, func(path string, file *ast.File) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				recordLogLine(t, lines, fileSet, call)
			}
			return true
		})
	})
	return lines
}

// recordLogLine records a call of Msg, which ends a log line. It reports an error for Msgf and MsgFunc, since their
// messages are not constant.
func recordLogLine(t *testing.T, lines map[string]*logLine, fileSet *token.FileSet, call *ast.CallExpr) {
	t.Helper()
	position := fileSet.Position(call.Pos()).String()
	switch calledName(call) {
	case "Msgf", "MsgFunc":
		t.Errorf("%s: the message of a log line must be constant", position)
	case "Msg":
		message, ok := stringLiteral(call.Args[0])
		if !ok {
			t.Errorf("%s: the message of a log line must be a string literal", position)
			return
		}
		line := lines[message]
		if line == nil {
			line = &logLine{fields: map[string]bool{}}
			lines[message] = line
		}
		line.positions = append(line.positions, position)
		addFields(line.fields, call)
	}
}

// addFields adds the names of the fields that the calls before Msg add. Err adds the field error. All other calls have
// the name of the field as their first argument.
func addFields(fields map[string]bool, call *ast.CallExpr) {
	for call != nil {
		if calledName(call) == "Err" {
			fields["error"] = true
		} else if len(call.Args) == 2 {
			if name, ok := stringLiteral(call.Args[0]); ok {
				fields[name] = true
			}
		}
		selector, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return
		}
		call, _ = selector.X.(*ast.CallExpr)
	}
}

// calledName returns the name of the method or function of a call, without its receiver or package. It returns an empty
// string if there is neither.
func calledName(call *ast.CallExpr) string {
	if selector, ok := call.Fun.(*ast.SelectorExpr); ok {
		return selector.Sel.Name
	}
	return ""
}

func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// logRow is a row of a table of log lines: the message and its fields in the first cell, and all code spans of the row.
type logRow struct {
	page    string
	message string
	fields  []string
	spans   map[string]bool
}

// pageRows returns the rows of the section "Log lines" of a page.
func pageRows(t *testing.T, page string) []logRow {
	t.Helper()
	_, section, ok := strings.Cut(readPage(t, page), "\n## Log lines\n")
	if !ok {
		t.Fatalf("%s has no section Log lines", page)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var rows []logRow
	for text := range strings.SplitSeq(section, "\n") {
		if row, ok := parseRow(page, text); ok {
			rows = append(rows, row)
		}
	}
	return rows
}

// parseRow reads a row of a table of log lines; ok is false for any other text.
func parseRow(page, text string) (row logRow, ok bool) {
	cells := strings.Split(text, "|")
	if len(cells) < 3 || !strings.HasPrefix(cells[1], " `") {
		return logRow{}, false
	}
	names := codeSpans(cells[1])
	row = logRow{page: page, message: names[0], fields: names[1:], spans: map[string]bool{}}
	for _, span := range codeSpans(text) {
		row.spans[span] = true
	}
	return row, true
}

var codeSpan = regexp.MustCompile("`([^`]+)`")

// codeSpans returns the code spans of a text, with each run of white space replaced by one blank.
func codeSpans(text string) []string {
	var spans []string
	for _, match := range codeSpan.FindAllStringSubmatch(text, -1) {
		spans = append(spans, strings.Join(strings.Fields(match[1]), " "))
	}
	return spans
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

package fuzzcorpus

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// Encoding is the first line of every corpus file.
const Encoding = "go test fuzz v1"

// maxInputLine is the longest line of a corpus file, in bytes.
const maxInputLine = 16 << 20

// errOutdatedInput is the error of an input whose values do not match the current parameters of its target.
var errOutdatedInput = errors.New("written for an older version of its target")

// literalPattern matches a literal: its type and, in parentheses, its value.
var literalPattern = regexp.MustCompile(`^([a-z0-9\[\]]+)\((.*)\)$`)

// typeAliases maps alternative names of types to the names under which they are compared.
var typeAliases = map[string]string{"uint8": "byte", "int32": "rune"}

func canonicalType(typeName string) string {
	if name, ok := typeAliases[typeName]; ok {
		return name
	}
	return typeName
}

// literalType returns the canonical name of the type of a literal. The text must match literalPattern.
func literalType(text string) string {
	return canonicalType(literalPattern.FindStringSubmatch(text)[1])
}

// zeroLiteral returns the literal of a type's zero value.
func zeroLiteral(typeName string) string {
	switch typeName {
	case "string", "[]byte":
		return typeName + `("")`
	case "bool":
		return "bool(false)"
	case "byte", "rune":
		return typeName + `('\x00')`
	}
	return typeName + "(0)"
}

// Check returns nil if a text is an input for the target. The error wraps errOutdatedInput if the text is an input
// whose values do not match the target's parameters.
func (t Target) Check(text []byte) error {
	_, err := t.Upgrade(text)
	return err
}

// Upgrade rewrites an input of an older version of the target. The values keep their order, and each becomes the next
// parameter that has its type. All other parameters get the zero value of their type. Upgrade returns the new text and
// an error that wraps errOutdatedInput. The text is nil if a value fits no parameter. If the input is up to date,
// Upgrade returns it unchanged and no error.
func (t Target) Upgrade(text []byte) ([]byte, error) {
	values, err := parseInput(text)
	if err != nil {
		return nil, err
	}
	var upgraded []string
	rest, same := values, len(values) == len(t.Types)
	for _, name := range t.Types {
		name = canonicalType(name)
		if len(rest) > 0 && literalType(rest[0]) == name {
			upgraded = append(upgraded, rest[0])
			rest = rest[1:]
			continue
		}
		upgraded = append(upgraded, zeroLiteral(name))
		same = false
	}
	types := strings.Join(t.Types, ", ")
	switch {
	case same:
		return text, nil
	case len(rest) > 0:
		return nil, fmt.Errorf("%w: %d of its values fit none of the parameters %s", errOutdatedInput, len(rest), types)
	}
	return []byte(Encoding + "\n" + strings.Join(upgraded, "\n") + "\n"),
		fmt.Errorf("%w: it has %d values for the parameters %s", errOutdatedInput, len(values), types)
}

// parseInput returns the literals of a corpus file.
func parseInput(text []byte) ([]string, error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxInputLine)
	if !lines.Scan() || strings.TrimSpace(lines.Text()) != Encoding {
		return nil, fmt.Errorf("unknown encoding: the first line is not %q", Encoding)
	}
	var values []string
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		if literalPattern.FindStringSubmatch(line) == nil {
			return nil, fmt.Errorf("line %d is not a literal such as []byte(\"...\")", len(values)+2)
		}
		values = append(values, line)
	}
	return values, lines.Err()
}

// checkInputs returns a fault for each file in a target's corpus that is not an input for the target.
func checkInputs(root string, t Target) ([]Fault, error) {
	faults, _, err := visitInputs(root, t, nil)
	return faults, err
}

// upgradeInputs rewrites the inputs of older versions of a target. It returns a fault for each file that it cannot
// rewrite, and the number of files that it has rewritten.
func upgradeInputs(root string, t Target) (faults []Fault, upgraded int, err error) {
	write := func(path string, text []byte) error { return os.WriteFile(path, text, filePermissions) }
	return visitInputs(root, t, write)
}

// visitInputs checks all inputs of a target. If rewrite is not nil, visitInputs calls it with the path and the new text
// of each input that can be upgraded. It returns a fault for each other input that is invalid or outdated.
func visitInputs(root string, t Target, rewrite func(string, []byte) error) (faults []Fault, rewritten int, err error) {
	names, err := t.Files(root)
	for _, name := range names {
		path := filepath.Join(t.Directory(root), name)
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, 0, err
		}
		upgraded, reason := t.Upgrade(text)
		switch {
		case reason == nil:
		case rewrite != nil && upgraded != nil:
			if err := rewrite(path, upgraded); err != nil {
				return nil, 0, err
			}
			rewritten++
		default:
			faults = append(faults, Fault{t, path, reason.Error()})
		}
	}
	return faults, rewritten, err
}

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

// errOlder is the error of an input that has other values than its target takes now.
var errOlder = errors.New("written for an older version of its target")

// literal matches a value: its type and, in parentheses, the rest.
var literal = regexp.MustCompile(`^([a-z0-9\[\]]+)\((.*)\)$`)

// aliases are other spellings of types, with the one that is compared.
var aliases = map[string]string{"uint8": "byte", "int32": "rune"}

func withoutAlias(typeName string) string {
	if name, ok := aliases[typeName]; ok {
		return name
	}
	return typeName
}

// typeOf returns the type of a literal.
func typeOf(text string) string { return withoutAlias(literal.FindStringSubmatch(text)[1]) }

// zeroLiteral is the literal of a type's zero value.
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

// Check reports whether a text is an input for the target; the error is errOlder where its values are others.
func (t Target) Check(text []byte) error {
	_, err := t.Upgrade(text)
	return err
}

// Upgrade rewrites an input of an older version: its values become, in their order, the first values of their types,
// all others are zero. It returns errOlder with the new text, and no text where the values do not fit.
func (t Target) Upgrade(text []byte) ([]byte, error) {
	values, err := parseInput(text)
	if err != nil {
		return nil, err
	}
	var upgraded []string
	rest, same := values, len(values) == len(t.Types)
	for _, name := range t.Types {
		name = withoutAlias(name)
		if len(rest) > 0 && typeOf(rest[0]) == name {
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
		return nil, fmt.Errorf("%w: %d of its values have no place among %s", errOlder, len(rest), types)
	}
	return []byte(Encoding + "\n" + strings.Join(upgraded, "\n") + "\n"),
		fmt.Errorf("%w: it has %d of %s", errOlder, len(values), types)
}

// parseInput returns the literals of a corpus file.
func parseInput(text []byte) ([]string, error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxInputLine)
	if !lines.Scan() || strings.TrimSpace(lines.Text()) != Encoding {
		return nil, fmt.Errorf("the first line is not %q: an unknown encoding", Encoding)
	}
	var values []string
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		if literal.FindStringSubmatch(line) == nil {
			return nil, fmt.Errorf("line %d is no value, such as []byte(\"...\")", len(values)+2)
		}
		values = append(values, line)
	}
	return values, lines.Err()
}

// checkInputs returns the inputs of a target that are none for it.
func checkInputs(root string, t Target) ([]Fault, error) {
	faults, _, err := visitInputs(root, t, nil)
	return faults, err
}

// upgradeInputs rewrites the inputs of older versions of a target. It returns those that cannot be, and how many
// were.
func upgradeInputs(root string, t Target) (faults []Fault, upgraded int, err error) {
	write := func(path string, text []byte) error { return os.WriteFile(path, text, filePermissions) }
	return visitInputs(root, t, write)
}

// visitInputs checks all inputs of a target, and has rewrite, where it is set, write those that can be upgraded.
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

package scheduler

import (
	"errors"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestConfigErrors checks that the error for a configuration that cannot be used has the line, the problem and the
// expected content, and wraps its cause.
func TestConfigErrors(t *testing.T) {
	good := `{"name":"n0",
"listen":"127.0.0.1:0",
"discovery":"127.0.0.1:1",
"limits":{"memory_mb":64,
"sockets":256},
"peers":[],
"settings":` + testSettings + "}"
	if _, err := parseConfig("f", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		old, new string
		line     int
		problem  string
	}{
		{`127.0.0.1:0`, `localhost`, 2, `listen is "localhost"`},
		{`"discovery":"127.0.0.1:1"`, `"discovery":""`, 3, `discovery is ""`},
		{`"memory_mb":64`, `"memory_mb":0`, 4, "memory_mb is 0"},
		{`"sockets":256`, `"sockets":5`, 5, "sockets is 5"},
		{`"peers":[]`, `"peers":["x"]`, 6, `an address of peers is "x"`},
		{`"semantics":"pure"`, `"semantics":"odd"`, 7, `semantics "odd" is unknown`},
		{`"sockets":256}`, `"sockets":256;`, 5, "invalid character"},
		{`"sockets":256`, `"sockets":"256"`, 5, "cannot unmarshal"},
		{`"peers":[]`, `"known":{"members":5},"peers":[]`, 6, "known"},
	} {
		t.Run(x.new, func(t *testing.T) {
			_, err := parseConfig("f", []byte(strings.Replace(good, x.old, x.new, 1)))
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Line != x.line || configErr.Expected == "" ||
				!strings.Contains(configErr.Problem, x.problem) {
				t.Errorf("error %v, expected line %d: %s", err, x.line, x.problem)
			}
		})
	}
	_, err := ReadConfig(filepath.Join(t.TempDir(), "none"))
	var configErr *ConfigError
	if !errors.As(err, &configErr) || configErr.Line != 0 || !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v for a missing file", err)
	}
}

package scheduler

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"
	"time"

	"honeyplank/internal/simwire"
)

// Config is the configuration file of one scheduler, as the platform writes it.
type Config struct {
	Name          string
	Listen        string // address for clients
	Discovery     string // address of discovery
	Seed          int64  // of the random numbers of the decision module
	Cores         float64
	MemoryMB      int
	Sockets       int              // descriptors that the process may have open
	PeerListen    string           // address that receives gossip; empty: no gossip is received
	Peers         []netip.AddrPort // one for each scheduler, by ordinal
	PeerBroadcast netip.AddrPort   // address that reaches all peers; invalid: there is none
	CachedList    []byte           // the last endpoint list that the platform received, in discovery's JSON form
	Site          *simwire.Site    // the deployment's settings
}

// ConfigError is the error of a configuration file that cannot be used.
type ConfigError struct {
	File     string
	Line     int    // from 1; 0 if the file could not be read
	Problem  string // the problem that was found
	Expected string // the content that was expected
	Err      error  // the cause; nil if there is none
}

// Error returns the file, the line, the problem and the expected content.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s:%d: %s; expected %s", e.File, e.Line, e.Problem, e.Expected)
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

const (
	// maxNotificationDelay is the time from a change of the endpoint list until, by the platform's rules, an instance
	// counts as notified of it if discovery is reachable.
	maxNotificationDelay = 6 * time.Second
	// maxWatchWithin bounds Watch.Within of the settings. The decision module retries within a quarter of that time,
	// which leaves two thirds of maxNotificationDelay for the calls themselves.
	maxWatchWithin = maxNotificationDelay * 4 / 3
	// minSockets is the minimum number of descriptors: the reserved ones, and the same number for clients and disk
	// servers.
	minSockets = 2 * reservedDescriptors

	expectedAddress = "an IPv4 address and a port, such as 127.0.0.1:6379"
)

// ReadConfig reads a configuration file. Its errors are of type *ConfigError.
func ReadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ConfigError{
			File:     file,
			Problem:  err.Error(),
			Expected: "the configuration that the platform writes",
			Err:      err,
		}
	}
	return parseConfig(file, text)
}

// configJSON is the JSON form of a configuration file.
type configJSON struct {
	Name          string          `json:"name"`
	Listen        string          `json:"listen"`
	Discovery     string          `json:"discovery"`
	Seed          string          `json:"seed"`
	Limits        limitsJSON      `json:"limits"`
	PeerListen    string          `json:"peer_listen"`
	Peers         []string        `json:"peers"`
	PeerBroadcast string          `json:"peers_all"`
	Known         json.RawMessage `json:"known"`
	Settings      json.RawMessage `json:"settings"`
}

// limitsJSON has the limits of the machine's resources that the process may use.
type limitsJSON struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// configParser checks a configuration file and converts it to a Config.
type configParser struct {
	file   string
	text   []byte
	json   configJSON
	config *Config
}

// parseConfig parses the text of a configuration file.
func parseConfig(file string, text []byte) (*Config, error) {
	p := &configParser{file: file, text: text}
	if err := json.Unmarshal(text, &p.json); err != nil {
		return nil, p.syntaxError(err)
	}
	p.config = &Config{
		Name:       p.json.Name,
		Listen:     p.json.Listen,
		Discovery:  p.json.Discovery,
		Seed:       parseSeed(p.json.Seed),
		Cores:      p.json.Limits.Cores,
		MemoryMB:   int(p.json.Limits.MemoryMB),
		Sockets:    p.json.Limits.Sockets,
		PeerListen: p.json.PeerListen,
		CachedList: p.json.Known,
	}
	steps := []func() error{p.checkAddresses, p.parsePeers, p.checkLimits, p.parseSite, p.checkCachedList}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return p.config, nil
}

// lineAt returns the number of the line at an offset in the text.
func (p *configParser) lineAt(offset int64) int {
	return 1 + bytes.Count(p.text[:min(offset, int64(len(p.text)))], []byte("\n"))
}

// errorAt returns a *ConfigError for the value of a JSON key, with the line of the key's first occurrence. An empty
// name stands for the whole file. The cause may be nil.
func (p *configParser) errorAt(name, problem, expected string, cause error) error {
	offset := 0
	if name != "" {
		offset = max(bytes.Index(p.text, strconv.AppendQuote(nil, name)), 0)
	}
	return &ConfigError{File: p.file, Line: p.lineAt(int64(offset)), Problem: problem, Expected: expected, Err: cause}
}

// syntaxError returns an error of the JSON decoder as a ConfigError, with its line.
func (p *configParser) syntaxError(err error) error {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	offset, expected := int64(0), "one JSON object"
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	} else if errors.As(err, &mismatch) {
		offset, expected = mismatch.Offset, mismatch.Field+" of type "+mismatch.Type.String()
	}
	return &ConfigError{File: p.file, Line: p.lineAt(offset), Problem: err.Error(), Expected: expected, Err: err}
}

func (p *configParser) checkAddresses() error {
	for _, address := range []struct {
		name, text string
		required   bool
	}{
		{"listen", p.json.Listen, true},
		{"discovery", p.json.Discovery, true},
		{"peer_listen", p.json.PeerListen, false},
	} {
		if address.text == "" && !address.required {
			continue
		}
		if _, err := parseIPv4(address.text); err != nil {
			return p.errorAt(address.name, fmt.Sprintf("%s is %q", address.name, address.text), expectedAddress, err)
		}
	}
	return nil
}

func (p *configParser) parsePeers() error {
	for _, text := range p.json.Peers {
		address, err := parseIPv4(text)
		if err != nil {
			return p.errorAt("peers", fmt.Sprintf("an address of peers is %q", text), expectedAddress, err)
		}
		p.config.Peers = append(p.config.Peers, address)
	}
	if p.json.PeerBroadcast == "" {
		return nil
	}
	var err error
	if p.config.PeerBroadcast, err = parseIPv4(p.json.PeerBroadcast); err != nil {
		return p.errorAt("peers_all", fmt.Sprintf("peers_all is %q", p.json.PeerBroadcast), expectedAddress, err)
	}
	return nil
}

func (p *configParser) checkLimits() error {
	if p.config.Sockets < minSockets {
		problem := fmt.Sprintf("sockets is %d", p.config.Sockets)
		return p.errorAt("sockets", problem, fmt.Sprintf("%d or more", minSockets), nil)
	}
	if p.config.MemoryMB < 1 {
		return p.errorAt("memory_mb", fmt.Sprintf("memory_mb is %g", p.json.Limits.MemoryMB), "1 or more", nil)
	}
	return nil
}

func (p *configParser) parseSite() error {
	if len(p.json.Settings) == 0 {
		return p.errorAt("", "settings is missing", "the settings object", nil)
	}
	site, err := simwire.ReadSite(p.json.Settings)
	if err != nil {
		return p.errorAt("settings", "settings: "+err.Error(), "the simulator's settings object", err)
	}
	if len(site.OpTypes) == 0 || len(site.Plans) == 0 {
		return p.errorAt("settings", "settings has no classes or no plans", "at least one of each", nil)
	}
	// An instance counts as notified after maxNotificationDelay even if the settings allow for more time.
	watch := &site.Settings.Watch
	watch.Within = min(watch.Within, maxWatchWithin)
	p.config.Site = site
	return nil
}

func (p *configParser) checkCachedList() error {
	if len(p.config.CachedList) == 0 {
		return nil
	}
	if _, _, err := readList(p.config.CachedList); err != nil {
		return p.errorAt("known", "known: "+err.Error(), "an endpoint list in discovery's JSON form", err)
	}
	return nil
}

// parseSeed parses a seed of hexadecimal digits. It hashes any other text, since seeds only have to differ between
// runs.
func parseSeed(text string) int64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return int64(seed)
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // Write of a hash never returns an error
	return int64(hash.Sum64())
}

// parseIPv4 parses an address of the form 127.0.0.1:6379.
func parseIPv4(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err == nil && !address.Addr().Is4() {
		err = errors.New("not an IPv4 address")
	}
	return address, err
}

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
	Name       string
	Listen     string // address for clients
	Discovery  string // address of discovery
	Seed       int64  // of the decision module's random numbers
	Cores      float64
	MemoryMB   int
	Sockets    int              // descriptors that the process may have open
	PeerListen string           // address for the datagrams of peers; empty: none are received
	Peers      []netip.AddrPort // one for each scheduler, by ordinal
	PeersAll   netip.AddrPort   // reaches all peers; invalid: there is none
	CachedList []byte           // the endpoint list as last received, in discovery's form
	Site       *simwire.Site    // the deployment's settings
}

// ConfigError is a configuration file that cannot be used.
type ConfigError struct {
	File  string
	Line  int    // from 1; 0: the file could not be read
	Wrong string // what is wrong
	Want  string // what would be right
	Err   error  // the cause; nil: there is none beyond Wrong
}

// Error gives file, line, what is wrong and what would be right.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s:%d: %s; expected %s", e.File, e.Line, e.Wrong, e.Want)
}

// Unwrap gives the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

const (
	// notifiedWithin is when an instance counts as notified of a change after discovery has it and could be reached, as the
	// platform's rules say.
	notifiedWithin = 6 * time.Second
	// The module calls again within a quarter of the settings' time for a watch. Two thirds of notifiedWithin are left for
	// the calls themselves.
	maxWatchWithin = notifiedWithin * 4 / 3
	// minSockets is twice what a scheduler needs beside its clients and disk servers, so that some are left for these.
	minSockets = 2 * reservedDescriptors

	wantedAddress = "an IPv4 address and a port, as 127.0.0.1:6379"
)

// ReadConfig reads a configuration file. Its errors are of type *ConfigError.
func ReadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ConfigError{File: file, Wrong: err.Error(), Want: "the configuration that the platform writes", Err: err}
	}
	return parseConfig(file, text)
}

// configJSON is the form of a configuration file.
type configJSON struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	PeerListen string          `json:"peer_listen"`
	Peers      []string        `json:"peers"`
	PeersAll   string          `json:"peers_all"`
	Known      json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// configParser checks a configuration file and makes a Config of it.
type configParser struct {
	file   string
	text   []byte
	json   configJSON
	config *Config
}

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
	for _, step := range []func() error{p.checkAddresses, p.parsePeers, p.checkLimits, p.parseSite, p.checkCachedList} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return p.config, nil
}

// lineAt gives the line of an offset in the text.
func (p *configParser) lineAt(offset int64) int {
	return 1 + bytes.Count(p.text[:min(offset, int64(len(p.text)))], []byte("\n"))
}

// errorAt is an error in the value of a name, on the line where the name first stands. The cause may be nil.
func (p *configParser) errorAt(name, wrong, want string, cause error) error {
	offset := 0
	if name != "" {
		offset = max(bytes.Index(p.text, strconv.AppendQuote(nil, name)), 0)
	}
	return &ConfigError{File: p.file, Line: p.lineAt(int64(offset)), Wrong: wrong, Want: want, Err: cause}
}

// syntaxError is an error of the JSON decoder, on the line where it was met.
func (p *configParser) syntaxError(err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	offset, want := int64(0), "one JSON object"
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	} else if errors.As(err, &kind) {
		offset, want = kind.Offset, kind.Field+" of type "+kind.Type.String()
	}
	return &ConfigError{File: p.file, Line: p.lineAt(offset), Wrong: err.Error(), Want: want, Err: err}
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
			return p.errorAt(address.name, fmt.Sprintf("%s is %q", address.name, address.text), wantedAddress, err)
		}
	}
	return nil
}

func (p *configParser) parsePeers() error {
	for _, text := range p.json.Peers {
		address, err := parseIPv4(text)
		if err != nil {
			return p.errorAt("peers", fmt.Sprintf("an address of peers is %q", text), wantedAddress, err)
		}
		p.config.Peers = append(p.config.Peers, address)
	}
	if p.json.PeersAll == "" {
		return nil
	}
	var err error
	if p.config.PeersAll, err = parseIPv4(p.json.PeersAll); err != nil {
		return p.errorAt("peers_all", fmt.Sprintf("peers_all is %q", p.json.PeersAll), wantedAddress, err)
	}
	return nil
}

func (p *configParser) checkLimits() error {
	if p.config.Sockets < minSockets {
		return p.errorAt("sockets", fmt.Sprintf("sockets is %d", p.config.Sockets), fmt.Sprintf("%d or more", minSockets), nil)
	}
	if p.config.MemoryMB < 1 {
		return p.errorAt("memory_mb", fmt.Sprintf("memory_mb is %g", p.json.Limits.MemoryMB), "1 or more", nil)
	}
	return nil
}

func (p *configParser) parseSite() error {
	if len(p.json.Settings) == 0 {
		return p.errorAt("", "settings is missing", "the object of the settings", nil)
	}
	site, err := simwire.ReadSite(p.json.Settings)
	if err != nil {
		return p.errorAt("settings", "settings: "+err.Error(), "what the simulator's first message holds", err)
	}
	if len(site.OpTypes) == 0 || len(site.Plans) == 0 {
		return p.errorAt("settings", "settings has no classes or no plans", "one of each at least", nil)
	}
	// Whatever the settings allow between two calls, an instance counts as notified after notifiedWithin.
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
		return p.errorAt("known", "known: "+err.Error(), "a list in discovery's form", err)
	}
	return nil
}

// parseSeed reads a seed of hexadecimal digits. Any other text is hashed: a seed only has to differ between runs.
func parseSeed(text string) int64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return int64(seed)
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return int64(hash.Sum64())
}

// parseIPv4 reads an address of the form 127.0.0.1:6379.
func parseIPv4(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err == nil && !address.Addr().Is4() {
		err = errors.New("no IPv4 address")
	}
	return address, err
}

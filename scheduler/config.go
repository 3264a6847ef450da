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

// Config are what the platform tells a scheduler: its configuration file.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Seed       int64
	Cores      float64
	MemoryMB   int
	Sockets    int
	PeerListen string           // where this scheduler hears its peers; none: it does not
	Peers      []netip.AddrPort // one a scheduler, by ordinal
	PeersAll   netip.AddrPort
	CachedList []byte // the list as last had, in discovery's form
	Site       *simwire.Site
}

// ConfigError is a file that can't be used: where, what is wrong, and what would be right.
type ConfigError struct {
	File        string
	Line        int
	Wrong, Want string
}

func (e *ConfigError) Error() string {
	return fmt.Sprintf("%s:%d: %s; expected %s", e.File, e.Line, e.Wrong, e.Want)
}

// notifiedWithin is when a change counts as told once discovery has it and could be reached, as the platform's rules say.
const notifiedWithin = 6 * time.Second

// minSockets is what a scheduler needs beside its clients and disk servers, twice.
const minSockets = 2 * reservedDescriptors

// ReadConfig reads a configuration file.
func ReadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &ConfigError{file, 0, err.Error(), "the configuration that the platform writes"}
	}
	return parseConfig(file, text)
}

func parseConfig(file string, text []byte) (*Config, error) {
	var f struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			Cores    float64 `json:"cores"`
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Peer     string          `json:"peer_listen"`
		Peers    []string        `json:"peers"`
		PeersAll string          `json:"peers_all"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	// line is where a name first stands, or where an offset lies.
	line := func(name string, offset int64) int {
		if name != "" {
			offset = int64(max(bytes.Index(text, strconv.AppendQuote(nil, name)), 0))
		}
		return 1 + bytes.Count(text[:min(offset, int64(len(text)))], []byte("\n"))
	}
	fault := func(name, wrong, want string) error { return &ConfigError{file, line(name, 0), wrong, want} }
	if err := json.Unmarshal(text, &f); err != nil {
		var syntax *json.SyntaxError
		var kind *json.UnmarshalTypeError
		at, want := int64(0), "one JSON object"
		if errors.As(err, &syntax) {
			at = syntax.Offset
		} else if errors.As(err, &kind) {
			at, want = kind.Offset, kind.Field+" of type "+kind.Type.String()
		}
		return nil, &ConfigError{file, line("", at), err.Error(), want}
	}
	config := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, PeerListen: f.Peer, CachedList: f.Known,
		Cores: f.Limits.Cores, MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets}
	const address = "an IPv4 address and a port, as 127.0.0.1:6379"
	for _, a := range []struct {
		name, text string
		must       bool
	}{{"listen", f.Listen, true}, {"discovery", f.Discovery, true}, {"peer_listen", f.Peer, false}} {
		if _, err := parseIPv4(a.text); err != nil && (a.must || a.text != "") {
			return nil, fault(a.name, fmt.Sprintf("%s is %q", a.name, a.text), address)
		}
	}
	for _, text := range f.Peers {
		a, err := parseIPv4(text)
		if err != nil {
			return nil, fault("peers", fmt.Sprintf("an address of peers is %q", text), address)
		}
		config.Peers = append(config.Peers, a)
	}
	if f.PeersAll != "" {
		var err error
		if config.PeersAll, err = parseIPv4(f.PeersAll); err != nil {
			return nil, fault("peers_all", fmt.Sprintf("peers_all is %q", f.PeersAll), address)
		}
	}
	if seed, err := strconv.ParseUint(f.Seed, 16, 64); err == nil {
		config.Seed = int64(seed)
	} else { // any text does: it only has to be new
		h := fnv.New64a()
		h.Write([]byte(f.Seed))
		config.Seed = int64(h.Sum64())
	}
	if config.Sockets < minSockets {
		return nil, fault("sockets", fmt.Sprintf("sockets is %d", config.Sockets), fmt.Sprintf("%d or more", minSockets))
	}
	if config.MemoryMB < 1 {
		return nil, fault("memory_mb", fmt.Sprintf("memory_mb is %g", f.Limits.MemoryMB), "1 or more")
	}
	if len(f.Settings) == 0 {
		return nil, fault("", "settings is missing", "the object of the settings")
	}
	var err error
	if config.Site, err = simwire.ReadSite(f.Settings); err != nil {
		return nil, fault("settings", "settings: "+err.Error(), "what the simulator's first message holds")
	}
	if len(config.Site.OpTypes) == 0 || len(config.Site.Plans) == 0 {
		return nil, fault("settings", "settings has no classes or no plans", "one of each at least")
	}
	// Whatever the settings allow between two calls, a change counts as told after notifiedWithin; the module calls again
	// within a quarter of this.
	watch := &config.Site.Settings.Watch
	watch.Within = min(watch.Within, notifiedWithin*4/3)
	if len(f.Known) > 0 {
		if _, _, err := readList(f.Known); err != nil {
			return nil, fault("known", "known: "+err.Error(), "a list in discovery's form")
		}
	}
	return config, nil
}

func parseIPv4(text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err == nil && !a.Addr().Is4() {
		err = errors.New("no IPv4 address")
	}
	return a, err
}

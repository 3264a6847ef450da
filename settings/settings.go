// Package settings reads a gateway's settings and rehearsal scripts from XML, checks them against the schema
// beside it and among each other, and hands them over: to the module under its own names, to the rest as
// fields. It holds no figure of its own and decides nothing.
package settings

import (
	"cmp"
	"encoding/xml"
	"fmt"
	"math/bits"
	"net/netip"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"honeyplank"
)

// Span is a time such as "250ms".
type Span time.Duration

// Bytes is a size such as "64KiB".
type Bytes int64

// UnmarshalText reads a time in the form of time.ParseDuration.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	*s = Span(d)
	return err
}

// MarshalText writes the time in that form.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// Duration is the span as the standard library has it.
func (s Span) Duration() time.Duration { return time.Duration(s) }

var unitShifts = []struct {
	name  string
	shift uint
}{{"KiB", 10}, {"MiB", 20}, {"GiB", 30}, {"TiB", 40}, {"B", 0}}

// UnmarshalText reads a whole number with one of the units B, KiB, MiB, GiB and TiB.
func (s *Bytes) UnmarshalText(b []byte) error {
	for _, u := range unitShifts {
		if digits, ok := strings.CutSuffix(string(b), u.name); ok {
			n, err := strconv.ParseInt(digits, 10, 64)
			if err != nil || bits.Len64(uint64(n))+int(u.shift) > 62 {
				return fmt.Errorf("size %q is too large", b)
			}
			*s = Bytes(n << u.shift)
			return nil
		}
	}
	return fmt.Errorf("size %q has no unit", b)
}

// MarshalText writes the size in the largest unit of which it is a whole number.
func (s Bytes) MarshalText() ([]byte, error) {
	for i := len(unitShifts) - 2; i >= 0; i-- {
		if u := unitShifts[i]; s != 0 && int64(s)%(1<<u.shift) == 0 {
			return fmt.Appendf(nil, "%d%s", int64(s)>>u.shift, u.name), nil
		}
	}
	return fmt.Appendf(nil, "%dB", int64(s)), nil
}

// Gateway is a file of settings; with Rehearsal it is a script. docs/settings.md explains each field.
type Gateway struct {
	XMLName xml.Name `xml:"honeyplank"`
	Version string   `xml:"version,attr"`
	Listen  struct {
		Address   string `xml:"address,attr"`
		Subsystem string `xml:"subsystem,attr"`
		Host      string `xml:"host,attr"`
	} `xml:"listen"`
	EndpointList struct {
		Etcd []struct {
			Endpoint string `xml:"endpoint,attr"`
		} `xml:"etcd"`
		DNS         *DNSSource   `xml:"dns"`
		SourceTrust *SourceTrust `xml:"believe"`
		Prefix      string       `xml:"prefix,attr"`
		WatchWithin Span         `xml:"ask-within,attr"`
		MaxServers  int          `xml:"most,attr"`
	} `xml:"list"`
	Scheduler struct {
		Instances int  `xml:"hosts,attr"`
		Ordinal   int  `xml:"ordinal,attr"`
		Zone      int  `xml:"zone,attr,omitempty"`
		Step      Span `xml:"step,attr,omitempty"`
	} `xml:"scheduler"`
	Dispatches struct {
		Max           int  `xml:"most,attr"`
		Parallel      bool `xml:"parallel,attr,omitempty"`
		MaxRetryAfter Span `xml:"advice-most,attr,omitempty"`
	} `xml:"dispatches"`
	OpTypes []OpType `xml:"op-types>op-type"`
	Plans   struct {
		List        []Plan  `xml:"plan"`
		WithinShare float64 `xml:"within-share,attr,omitempty"`
		SpareShare  float64 `xml:"spare,attr,omitempty"`
	} `xml:"plans"`
	Volumes struct {
		List      []Volume `xml:"volume"`
		Block     Bytes    `xml:"block,attr"`
		Unit      Bytes    `xml:"unit,attr"`
		Extent    Bytes    `xml:"extent,attr"`
		MeanUnits float64  `xml:"mean-units,attr"`
	} `xml:"volumes"`
	Policy      Policy      `xml:"rules"`
	Limits      Limits      `xml:"limits"`
	DiskServers DiskServers `xml:"disk-servers"`
	FaultTest   *FaultTest  `xml:"rehearsal"`
}

// DNSSource is the list in DNS: docs/dns.md.
type DNSSource struct {
	Servers []struct {
		Address string `xml:"address,attr"`
	} `xml:"server"`
	Name        string `xml:"name,attr"`
	MinInterval Span   `xml:"floor,attr"`
	MaxInterval Span   `xml:"ceiling,attr"`
	Timeout     Span   `xml:"timeout,attr"`
}

// SourceTrust holds the figures of the rule whom to believe: docs/sources.md.
type SourceTrust struct {
	MaxRemovedShare float64 `xml:"vanish,attr"`
	ConfirmAfter    Span    `xml:"confirm,attr"`
	FlapWindow      Span    `xml:"calm,attr"`
	FlapThreshold   int     `xml:"flaps,attr"`
	FlapHold        Span    `xml:"hold,attr"`
}

// OpType is an op type, and which commands are of it: opcode and a range of lengths, From to To included.
type OpType struct {
	Name          string  `xml:"name,attr"`
	Opcode        string  `xml:"opcode,attr"`
	MinBytes      Bytes   `xml:"from,attr,omitempty"`
	MaxBytes      Bytes   `xml:"to,attr,omitempty"`
	TargetLatency Span    `xml:"target-latency,attr"`
	OpTimeout     Span    `xml:"op-timeout,attr"`
	Utility       float64 `xml:"utility,attr"`
	LateUtility   float64 `xml:"late-utility,attr,omitempty"`
	Semantics     string  `xml:"kind,attr"`
	DedupScope    string  `xml:"scope,attr,omitempty"`
	DedupWindow   Span    `xml:"remember,attr,omitempty"`
	Ordered       bool    `xml:"ordered,attr,omitempty"`
}

// Plan holds what is due to each volume of it; rates are in units a second over all gateways.
type Plan struct {
	Name    string  `xml:"name,attr"`
	Rate    float64 `xml:"rate,attr"`
	Reserve float64 `xml:"reserve,attr"`
	Weight  float64 `xml:"weight,attr"`
	Value   float64 `xml:"value,attr,omitempty"`
	Limit   float64 `xml:"limit,attr,omitempty"`
	Burst   float64 `xml:"burst,attr,omitempty"`
	Slack   float64 `xml:"slack,attr,omitempty"`
}

// Volume is a namespace. Its extents lie on its cells in turn.
type Volume struct {
	NSID      uint32 `xml:"nsid,attr"`
	Name      string `xml:"name,attr"`
	Plan      string `xml:"plan,attr"`
	Size      Bytes  `xml:"size,attr"`
	Cells     string `xml:"cells,attr"`
	Instances int    `xml:"hosts,attr,omitempty"`
}

// CellList is Cells as numbers.
func (v *Volume) CellList() (list []int) {
	for _, f := range strings.Fields(v.Cells) {
		n, _ := strconv.Atoi(f)
		list = append(list, n)
	}
	return list
}

// Policy are the figures of the seven rules.
type Policy struct {
	SlowStart *struct {
		From     float64 `xml:"from,attr"`
		Time     Span    `xml:"time,attr"`
		Window   Span    `xml:"window,attr"`
		Units    float64 `xml:"units,attr"`
		Multiple float64 `xml:"multiple,attr"`
	} `xml:"cold"`
	RetryBudget *struct {
		Free   float64 `xml:"free,attr"`
		Share  float64 `xml:"share,attr"`
		Window Span    `xml:"window,attr"`
	} `xml:"budget"`
	DrainGrace     Span `xml:"drain-grace,attr"`
	AnswerMargin   Span `xml:"answer-margin,attr"`
	OrderSettle    Span `xml:"order-settle,attr,omitempty"`
	UsagePeriod    Span `xml:"meter-period,attr,omitempty"`
	UsageElsewhere bool `xml:"meter-elsewhere,attr,omitempty"`
}

// Limits bound what clients may cost.
type Limits struct {
	Client           *ClientLimits `xml:"peer"`
	MaxConnections   int           `xml:"connections,attr"`
	QueueDepth       int           `xml:"depth,attr"`
	MaxTransfer      Bytes         `xml:"transfer,attr"`
	MaxCapsule       Bytes         `xml:"capsule,attr"`
	MaxDataPDU       Bytes         `xml:"piece,attr"`
	MaxBuffered      Bytes         `xml:"held,attr"`
	MaxUnsent        Bytes         `xml:"unsent,attr"`
	HandshakeTimeout Span          `xml:"handshake,attr"`
}

// ClientLimits bounds what one peer may cost: docs/peers.md.
type ClientLimits struct {
	MaxConnections   int   `xml:"connections,attr"`
	MaxHandshakes    int   `xml:"handshakes,attr"`
	MaxCommands      int   `xml:"commands,attr,omitempty"`
	MaxBufferedBytes Bytes `xml:"bytes,attr"`
	PDUTimeout       Span  `xml:"pdu,attr"`
	BanThreshold     int   `xml:"breaches,attr"`
	ViolationWindow  Span  `xml:"window,attr"`
	InitialBan       Span  `xml:"shut,attr"`
	MaxBan           Span  `xml:"most,attr"`
}

// DiskServers says how to talk to them.
type DiskServers struct {
	Subsystem      string `xml:"subsystem,attr"`
	ConnectTimeout Span   `xml:"connect-within,attr"`
	KeepAlive      Span   `xml:"keep-alive,attr"`
	QueueDepth     int    `xml:"depth,attr"`
	Digests        bool   `xml:"digests,attr,omitempty"`
}

// FaultTest is a script: a fleet of stand-ins, traffic, and what goes wrong when.
type FaultTest struct {
	Gateways    int         `xml:"gateways,attr"`
	Duration    Span        `xml:"length,attr"`
	Clients     int         `xml:"clients,attr"`
	Retries     int         `xml:"retries,attr,omitempty"`
	FakeServers FakeServers `xml:"fleet"`
	Traffic     []Traffic   `xml:"traffic"`
	Faults      []Fault     `xml:"trouble"`
}

// FakeServers is what each stand-in disk server is like.
type FakeServers struct {
	Cores             int     `xml:"cores,attr"`
	QueueLimit        int     `xml:"queue,attr"`
	UnitServiceTime   Span    `xml:"unit-time,attr"`
	ServiceTimeSpread float64 `xml:"spread,attr,omitempty"`
	CachedExtents     int     `xml:"near,attr,omitempty"`
	CacheSaving       float64 `xml:"near-saves,attr,omitempty"`
	DeferredShare     float64 `xml:"put-off,attr,omitempty"`
	DeferredWorkEvery Span    `xml:"put-off-every,attr,omitempty"`
	Pause             Span    `xml:"pause,attr,omitempty"`
	PauseEvery        Span    `xml:"pause-every,attr,omitempty"`
	ReportInterval    Span    `xml:"reports-every,attr,omitempty"`
}

// Traffic is ops of one type over all gateways: ops a second, bytes an op, and how many of one extent come in
// a row.
type Traffic struct {
	OpType    string  `xml:"op-type,attr"`
	Rate      float64 `xml:"rate,attr"`
	OpBytes   Bytes   `xml:"bytes,attr"`
	ExtentRun int     `xml:"run,attr,omitempty"`
}

// Fault goes wrong At for a time, with Count servers, gateways or clients, or Times as much.
type Fault struct {
	Kind     string  `xml:"kind,attr"`
	Start    Span    `xml:"at,attr"`
	Duration Span    `xml:"for,attr"`
	Count    int     `xml:"count,attr,omitempty"`
	Factor   float64 `xml:"times,attr,omitempty"`
	Plan     string  `xml:"plan,attr,omitempty"`
}

// Read reads and checks a file. What is wrong with it is a *Fault.
func Read(file string) (*Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse checks a text and reads it; file names it in faults.
func Parse(file string, text []byte) (*Gateway, error) {
	s, err := load()
	if err != nil {
		return nil, fmt.Errorf("settings: the schema: %w", err)
	}
	root, err := parse(file, text)
	if err != nil {
		return nil, err
	}
	if err := s.check(file, root); err != nil {
		return nil, err
	}
	g := &Gateway{}
	if err := xml.Unmarshal(text, g); err != nil {
		return nil, &Error{file, root.line, err.Error(), ""}
	}
	if err := g.agree(file, root); err != nil {
		return nil, err
	}
	return g, nil
}

// XML writes the settings out, with what was left to defaults.
func (g *Gateway) XML() ([]byte, error) {
	b, err := xml.MarshalIndent(g, "", "  ")
	return append(b, '\n'), err
}

// agree checks what the schema can't say.
func (g *Gateway) agree(file string, root *node) error {
	type check struct {
		ok    bool
		at    *node
		wrong string
		right string
	}
	one := func(path string) *node { return root.pick(path)[0] }
	block, unit, extent, l := g.Volumes.Block, g.Volumes.Unit, g.Volumes.Extent, g.Limits
	volumes, limits, rules, disks := one("volumes"), one("limits"), one("rules"), one("disk-servers")
	power := func(b Bytes) bool { return b > 0 && b&(b-1) == 0 }
	checks := []check{
		{power(block) && block >= 512 && block <= 64<<10, volumes, "block is not a power of two from 512B to 64KiB", "such as 4KiB"},
		{unit > 0, volumes, "unit is 0", "such as 16KiB"},
		{extent > 0 && block > 0 && extent%block == 0, volumes, "extent is not a multiple of block", ""},
		{power(l.MaxTransfer) && l.MaxTransfer >= 4<<10 && l.MaxTransfer <= 1<<20, limits, "transfer is not a power of two from 4KiB to 1MiB", "such as 128KiB"},
		{l.MaxDataPDU >= 4<<10 && l.MaxDataPDU%4 == 0 && l.MaxDataPDU <= 1<<20, limits, "piece is not a multiple of 4 from 4KiB to 1MiB", "such as 128KiB"},
		{l.MaxCapsule >= 1<<10 && l.MaxCapsule%16 == 0 && l.MaxCapsule <= l.MaxDataPDU, limits, "capsule is not a multiple of 16 from 1KiB to piece", "such as 8KiB"},
		{l.QueueDepth >= 2 && l.QueueDepth <= 1024, limits, "depth is not from 2 to 1024", "such as 128"},
		{l.MaxBuffered >= l.MaxTransfer, limits, "held is under transfer", "at least one transfer must fit"},
		{l.MaxUnsent >= 4*l.MaxTransfer, limits, "unsent is under four times transfer", "room for some answers"},
		{l.HandshakeTimeout > 0, limits, "handshake is 0", "such as 1s"},
		{g.DiskServers.QueueDepth >= 2 && g.DiskServers.QueueDepth <= 1024, disks, "depth is not from 2 to 1024", "such as 256"},
		{g.DiskServers.ConnectTimeout > 0, disks, "connect-within is 0", "such as 250ms"},
		{g.Scheduler.Ordinal < g.Scheduler.Instances, one("scheduler"), "ordinal is not below hosts", "schedulers count from 0"},
		{g.Policy.SlowStart == nil || g.Policy.SlowStart.From > 0 && g.Policy.SlowStart.Window > 0, rules, "cold has from or window 0", "leave the element out where servers start warm"},
		{g.Policy.RetryBudget == nil || g.Policy.RetryBudget.Window > 0, rules, "budget has window 0", "leave the element out where there is no budget"},
		{g.EndpointList.WatchWithin > 0, one("list"), "ask-within is 0", "such as 10s"},
		{g.EndpointList.MaxServers > 0, one("list"), "most is 0", "more than the fleet will ever have, such as 20000"},
		{l.Client == nil || l.Client.MaxConnections >= 2 && l.Client.ViolationWindow > 0 && l.Client.InitialBan > 0 && l.Client.MaxBan >= l.Client.InitialBan && l.Client.MaxBufferedBytes >= l.MaxTransfer, limits,
			"peer has under 2 connections, bytes under transfer, window or shut 0, or most under shut", "a host needs two connections, and one transfer must fit"},
		{len(g.EndpointList.Etcd) > 0 || g.EndpointList.DNS != nil, one("list"), "the list has no source", "etcd, dns, or both"},
		{g.EndpointList.DNS == nil || g.EndpointList.SourceTrust != nil, one("list"), "dns stands without a believe", "with two sources the rule needs its figures"},
		{g.EndpointList.DNS == nil || g.EndpointList.DNS.MinInterval > 0 && g.EndpointList.DNS.MinInterval <= g.EndpointList.DNS.MaxInterval && g.EndpointList.DNS.Timeout > 0, one("list"), "dns has floor or timeout 0, or a floor over its ceiling", "such as floor 1s, ceiling 30s, timeout 500ms"},
	}
	addresses := append([]*node{one("listen")}, root.pick("list/etcd")...)
	addresses = append(addresses, root.pick("list/dns/server")...)
	for _, n := range addresses {
		text := n.attributes["address"] + n.attributes["endpoint"]
		_, err := netip.ParseAddrPort(text)
		checks = append(checks, check{err == nil, n, fmt.Sprintf("%q is no address", text), "such as 127.0.0.1:4420"})
	}
	cover := map[string][][2]int64{}
	for i, t := range g.OpTypes {
		n := root.pick("op-types/op-type")[i]
		to := int64(t.MaxBytes)
		if t.MaxBytes == 0 {
			to = int64(max(l.MaxTransfer, 1))
		}
		for _, o := range cover[t.Opcode] {
			checks = append(checks, check{to < o[0] || int64(t.MinBytes) > o[1], n, fmt.Sprintf("the lengths of %q overlap another op type's", t.Name), "each length of an opcode belongs to one op type"})
		}
		cover[t.Opcode] = append(cover[t.Opcode], [2]int64{int64(t.MinBytes), to})
		checks = append(checks,
			check{t.TargetLatency > 0 && t.TargetLatency <= t.OpTimeout, n, fmt.Sprintf("the target latency of %q is 0 or over its op timeout", t.Name), "an answer is wanted before the client gives up"},
			check{g.Policy.AnswerMargin < t.OpTimeout/2, rules, fmt.Sprintf("answer-margin is half of the op timeout of %q or more", t.Name), "it is the time an answer needs to the client"},
			check{t.Semantics != "deduplicated" || t.DedupWindow > 0, n, fmt.Sprintf("%q is deduplicated without a time", t.Name), "remember tells how long repeats are known"})
	}
	for _, op := range []string{"read", "write"} {
		list := cover[op]
		if block == 0 {
			break
		}
		sort.Slice(list, func(i, j int) bool { return list[i][0] < list[j][0] })
		next := int64(block)
		for _, o := range list {
			if o[0] <= next {
				next = max(next, (o[1]/int64(block)+1)*int64(block))
			}
		}
		checks = append(checks, check{next > int64(l.MaxTransfer), one("op-types"), fmt.Sprintf("a %s of %d bytes is of no op type", op, next), "each length up to transfer needs one"})
	}
	for i, p := range g.Plans.List {
		checks = append(checks, check{p.Limit == 0 || p.Burst > 0, root.pick("plans/plan")[i], fmt.Sprintf("plan %q has a limit without a burst", p.Name), "burst is the amount it fills up to"})
	}
	for i, v := range g.Volumes.List {
		n := root.pick("volumes/volume")[i]
		checks = append(checks,
			check{v.Size > 0 && block > 0 && v.Size%block == 0, n, fmt.Sprintf("the size of %q is not a multiple of block", v.Name), ""},
			check{v.Instances <= g.Scheduler.Instances, n, fmt.Sprintf("%q has more hosts than there are", v.Name), ""})
	}
	for _, c := range checks {
		if !c.ok {
			return &Error{file, c.at.line, c.wrong, c.right}
		}
	}
	return nil
}

var kinds = map[string]honeyplank.Semantics{"replayable": honeyplank.Idempotent, "deduplicated": honeyplank.Deduplicated, "once-only": honeyplank.AtMostOnce}

var scopes = map[string]honeyplank.DedupScope{"": honeyplank.ScopeAll, "all": honeyplank.ScopeAll, "zone": honeyplank.ScopeZone, "cell": honeyplank.ScopeCell}

// ModuleSettings returns the settings of the decision module.
func (g *Gateway) ModuleSettings() *honeyplank.Settings {
	m := &honeyplank.Settings{
		Step:         g.Scheduler.Step.Duration(),
		Instances:    g.Scheduler.Instances,
		Ordinal:      g.Scheduler.Ordinal,
		MeanUnits:    g.Volumes.MeanUnits,
		LargestUnits: float64(g.Units(int64(g.Limits.MaxTransfer))),
		Watch:        honeyplank.WatchSettings{OnRequest: true, Within: g.EndpointList.WatchWithin.Duration()},
		Dispatches: honeyplank.DispatchSettings{Max: g.Dispatches.Max, HedgingAllowed: g.Dispatches.Parallel, CancelAllowed: true,
			ConnectTimeout: g.DiskServers.ConnectTimeout.Duration()},
		RetryAfter:  honeyplank.RetryAfterSettings{Allowed: g.Dispatches.MaxRetryAfter > 0, Max: g.Dispatches.MaxRetryAfter.Duration()},
		Usage:       honeyplank.UsageSettings{Period: g.Policy.UsagePeriod.Duration(), Elsewhere: g.Policy.UsageElsewhere},
		DrainGrace:  g.Policy.DrainGrace.Duration(),
		OrderSettle: g.Policy.OrderSettle.Duration(),
	}
	if c := g.Policy.SlowStart; c != nil {
		m.SlowStart = honeyplank.SlowStartSettings{Window: c.Window.Duration(), Time: c.Time.Duration(), From: c.From, Units: c.Units}
	}
	if b := g.Policy.RetryBudget; b != nil {
		m.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: b.Free, Share: b.Share, Window: b.Window.Duration()}
	}
	for _, t := range g.OpTypes {
		types := &m.OpTypes
		types.TargetLatency = append(types.TargetLatency, t.TargetLatency.Duration())
		types.OpTimeout = append(types.OpTimeout, t.OpTimeout.Duration())
		types.Utility = append(types.Utility, t.Utility)
		types.Semantics = append(types.Semantics, kinds[t.Semantics])
		types.DedupScope = append(types.DedupScope, scopes[t.DedupScope])
		types.DedupWindow = append(types.DedupWindow, t.DedupWindow.Duration())
		types.Ordered = append(types.Ordered, t.Ordered)
	}
	for _, p := range g.Plans.List {
		plans := &m.Plans
		plans.Rate = append(plans.Rate, p.Rate)
		plans.Reserve = append(plans.Reserve, p.Reserve)
		plans.Weight = append(plans.Weight, p.Weight)
		plans.Value = append(plans.Value, cmp.Or(p.Value, 1))
		plans.Limit = append(plans.Limit, p.Limit)
		plans.Burst = append(plans.Burst, p.Burst)
		plans.Slack = append(plans.Slack, p.Slack)
	}
	return m
}

// Units is the size of an op in units: whole ones, at least one.
func (g *Gateway) Units(bytes int64) int64 {
	unit := int64(g.Volumes.Unit)
	return max((bytes+unit-1)/unit, 1)
}

// OpTypeIndex is the op type of a command by its length, -1 where there is none.
func (g *Gateway) OpTypeIndex(write bool, bytes int64) int {
	for i, t := range g.OpTypes {
		if (t.Opcode == "write") == write && bytes >= int64(t.MinBytes) && (t.MaxBytes == 0 || bytes <= int64(t.MaxBytes)) {
			return i
		}
	}
	return -1
}

// PlanIndex is the index of a plan by its name.
func (g *Gateway) PlanIndex(name string) int {
	for i, p := range g.Plans.List {
		if p.Name == name {
			return i
		}
	}
	return -1
}

func sorted(list []string) []string { sort.Strings(list); return list }

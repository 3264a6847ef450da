package settings

import (
	"strconv"
	"strings"
)

// Opcode is the kind of command that an op type is made of.
type Opcode string

// The opcodes of op types.
const (
	OpcodeRead  Opcode = "read"
	OpcodeWrite Opcode = "write"
)

// Semantics tells whether an op may run more than once.
type Semantics string

// The semantics of op types.
const (
	Replayable   Semantics = "replayable"   // it may run any number of times
	Deduplicated Semantics = "deduplicated" // disk servers drop repeats for a time
	OnceOnly     Semantics = "once-only"    // it must not run twice
)

// DedupScope is the group of disk servers that drops repeats of an op.
type DedupScope string

// The deduplication scopes; an op type that names none has ScopeAll.
const (
	ScopeAll  DedupScope = "all"
	ScopeZone DedupScope = "zone"
	ScopeCell DedupScope = "cell"
)

// Listen is where clients connect, and the NQNs of the gateway.
type Listen struct {
	Address   string `xml:"address,attr"`
	Subsystem string `xml:"subsystem,attr"` // that clients see
	Host      string `xml:"host,attr"`      // towards disk servers and etcd
}

// EndpointList is where the list of disk servers comes from, and the bounds of following it.
type EndpointList struct {
	Etcd        []EtcdSource `xml:"etcd"`
	DNS         *DNSSource   `xml:"dns"`
	SourceTrust *SourceTrust `xml:"believe"`
	Prefix      string       `xml:"prefix,attr"` // of the keys in etcd
	WatchWithin Span         `xml:"ask-within,attr"`
	MaxServers  int          `xml:"most,attr"`
}

// EtcdSource is a member of the etcd cluster that has the list.
type EtcdSource struct {
	Endpoint string `xml:"endpoint,attr"`
}

// DNSSource is the list in DNS: docs/dns.md.
type DNSSource struct {
	Servers     []NameServer `xml:"server"`
	Name        string       `xml:"name,attr"`
	MinInterval Span         `xml:"floor,attr"`
	MaxInterval Span         `xml:"ceiling,attr"`
	Timeout     Span         `xml:"timeout,attr"`
}

// NameServer is a DNS server to query.
type NameServer struct {
	Address string `xml:"address,attr"`
}

// SourceTrust is when a source's removals and changes are accepted: docs/sources.md.
type SourceTrust struct {
	MaxRemovedShare float64 `xml:"vanish,attr"`
	ConfirmAfter    Span    `xml:"confirm,attr"`
	FlapWindow      Span    `xml:"calm,attr"`
	FlapThreshold   int     `xml:"flaps,attr"`
	FlapHold        Span    `xml:"hold,attr"`
}

// Scheduler is this gateway's place among the gateways of the deployment.
type Scheduler struct {
	Instances int  `xml:"hosts,attr"`
	Ordinal   int  `xml:"ordinal,attr"`
	Zone      int  `xml:"zone,attr,omitempty"`
	Step      Span `xml:"step,attr,omitempty"`
}

// Dispatches bound how often an op is sent to disk servers.
type Dispatches struct {
	Max            int  `xml:"most,attr"`
	HedgingAllowed bool `xml:"parallel,attr,omitempty"`
	MaxRetryAfter  Span `xml:"advice-most,attr,omitempty"`
}

// OpType is an op type, and which commands are of it: an opcode and a range of lengths, both ends included.
type OpType struct {
	Name          string     `xml:"name,attr"`
	Opcode        Opcode     `xml:"opcode,attr"`
	MinBytes      Bytes      `xml:"from,attr,omitempty"`
	MaxBytes      Bytes      `xml:"to,attr,omitempty"` // 0: up to the largest transfer
	TargetLatency Span       `xml:"target-latency,attr"`
	OpTimeout     Span       `xml:"op-timeout,attr"`
	Utility       float64    `xml:"utility,attr"`
	LateUtility   float64    `xml:"late-utility,attr,omitempty"`
	Semantics     Semantics  `xml:"kind,attr"`
	DedupScope    DedupScope `xml:"scope,attr,omitempty"`
	DedupWindow   Span       `xml:"remember,attr,omitempty"`
	Ordered       bool       `xml:"ordered,attr,omitempty"`
}

// Plans are the plans that volumes may have.
type Plans struct {
	List        []Plan  `xml:"plan"`
	WithinShare float64 `xml:"within-share,attr,omitempty"` // part of the utility beyond the reserve
	SpareShare  float64 `xml:"spare,attr,omitempty"`        // part of the utility beyond the volume's share too
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

// Volumes are the namespaces and what all of them share.
type Volumes struct {
	List      []Volume `xml:"volume"`
	Block     Bytes    `xml:"block,attr"`
	Unit      Bytes    `xml:"unit,attr"`
	Extent    Bytes    `xml:"extent,attr"`
	MeanUnits float64  `xml:"mean-units,attr"`
}

// Volume is a namespace. Its extents lie on its cells in turn.
type Volume struct {
	NSID      uint32 `xml:"nsid,attr"`
	Name      string `xml:"name,attr"`
	Plan      string `xml:"plan,attr"`
	Size      Bytes  `xml:"size,attr"`
	Cells     string `xml:"cells,attr"`
	Instances int    `xml:"hosts,attr,omitempty"` // gateways its ops come through; 0: all
}

// CellList is Cells as numbers.
func (v *Volume) CellList() []int {
	var cells []int
	for _, field := range strings.Fields(v.Cells) {
		cell, _ := strconv.Atoi(field) // the schema admits digits alone
		cells = append(cells, cell)
	}
	return cells
}

// Policy holds what the decision module's rules need.
type Policy struct {
	SlowStart      *SlowStart   `xml:"cold"`
	RetryBudget    *RetryBudget `xml:"budget"`
	DrainGrace     Span         `xml:"drain-grace,attr"`
	AnswerMargin   Span         `xml:"answer-margin,attr"`
	OrderSettle    Span         `xml:"order-settle,attr,omitempty"`
	UsagePeriod    Span         `xml:"meter-period,attr,omitempty"`
	UsageElsewhere bool         `xml:"meter-elsewhere,attr,omitempty"`
}

// SlowStart says how a new disk server is warmed up.
type SlowStart struct {
	From     float64 `xml:"from,attr"` // share of the full rate that it begins with
	Time     Span    `xml:"time,attr"` // after which it is warm
	Window   Span    `xml:"window,attr"`
	Units    float64 `xml:"units,attr"`    // that it may always be sent in a window
	Multiple float64 `xml:"multiple,attr"` // of its rate that overloads it
}

// RetryBudget bounds retries and hedged requests: Free, and a share of the ops admitted in the window.
type RetryBudget struct {
	Free   float64 `xml:"free,attr"`
	Share  float64 `xml:"share,attr"`
	Window Span    `xml:"window,attr"`
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

// ClientLimits bound what one client address may cost: docs/peers.md.
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

// DiskServers is how the gateway connects to disk servers.
type DiskServers struct {
	Subsystem      string `xml:"subsystem,attr"`
	ConnectTimeout Span   `xml:"connect-within,attr"`
	KeepAlive      Span   `xml:"keep-alive,attr"`
	QueueDepth     int    `xml:"depth,attr"`
	Digests        bool   `xml:"digests,attr,omitempty"`
}

// FaultTest is a script: fake disk servers, traffic, and which faults are injected when.
type FaultTest struct {
	Gateways    int         `xml:"gateways,attr"`
	Duration    Span        `xml:"length,attr"`
	Clients     int         `xml:"clients,attr"` // of each gateway
	Retries     int         `xml:"retries,attr,omitempty"`
	FakeServers FakeServers `xml:"fleet"`
	Traffic     []Traffic   `xml:"traffic"`
	Faults      []Fault     `xml:"trouble"`
}

// FakeServers is what each fake disk server is like.
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

// Traffic is ops of one type over all gateways.
type Traffic struct {
	OpType    string  `xml:"op-type,attr"`
	Rate      float64 `xml:"rate,attr"` // ops a second
	OpBytes   Bytes   `xml:"bytes,attr"`
	ExtentRun int     `xml:"run,attr,omitempty"` // how many ops of one extent come in a row
}

// Fault begins at Start for Duration, at Count servers, gateways or clients, or with Factor as much.
type Fault struct {
	Kind     string  `xml:"kind,attr"`
	Start    Span    `xml:"at,attr"`
	Duration Span    `xml:"for,attr"`
	Count    int     `xml:"count,attr,omitempty"`
	Factor   float64 `xml:"times,attr,omitempty"`
	Plan     string  `xml:"plan,attr,omitempty"`
}

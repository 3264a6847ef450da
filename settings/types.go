package settings

import (
	"strconv"
	"strings"
)

// Opcode is the NVMe command of an op type.
type Opcode string

// The opcodes of op types.
const (
	OpcodeRead  Opcode = "read"
	OpcodeWrite Opcode = "write"
)

// Semantics states whether an op may run more than once.
type Semantics string

// The semantics of op types.
const (
	Replayable   Semantics = "replayable"   // may run any number of times
	Deduplicated Semantics = "deduplicated" // disk servers drop repeats within the deduplication window
	OnceOnly     Semantics = "once-only"    // must not run twice
)

// DedupScope is the group of disk servers that together drop repeats of an op.
type DedupScope string

// The deduplication scopes. The default is ScopeAll.
const (
	ScopeAll  DedupScope = "all"
	ScopeZone DedupScope = "zone"
	ScopeCell DedupScope = "cell"
)

// Listen holds the address that clients connect to, and the NQNs of the gateway.
type Listen struct {
	Address   string `xml:"address,attr"`
	Subsystem string `xml:"subsystem,attr"` // the subsystem NQN that clients connect to
	Host      string `xml:"host,attr"`      // the host NQN that the gateway sends to disk servers and etcd
}

// EndpointList holds the sources of the list of disk servers, and the limits for watching it.
type EndpointList struct {
	Etcd        []EtcdSource `xml:"etcd"`
	DNS         *DNSSource   `xml:"dns"`
	SourceTrust *SourceTrust `xml:"believe"`
	Prefix      string       `xml:"prefix,attr"` // prefix of the keys in etcd
	WatchWithin Span         `xml:"ask-within,attr"`
	MaxServers  int          `xml:"most,attr"`
}

// EtcdSource is a member of the etcd cluster that stores the list.
type EtcdSource struct {
	Endpoint string `xml:"endpoint,attr"`
}

// DNSSource holds the parameters of the queries for the list in DNS; see docs/dns.md.
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

// SourceTrust holds the conditions under which removals and changes from a source are accepted; see docs/sources.md.
type SourceTrust struct {
	MaxRemovedShare float64 `xml:"vanish,attr"`
	ConfirmAfter    Span    `xml:"confirm,attr"`
	FlapWindow      Span    `xml:"calm,attr"`
	FlapThreshold   int     `xml:"flaps,attr"`
	FlapHold        Span    `xml:"hold,attr"`
}

// Scheduler holds the number of gateways in the deployment, and the ordinal and zone of this one.
type Scheduler struct {
	Instances int  `xml:"hosts,attr"`
	Ordinal   int  `xml:"ordinal,attr"`
	Zone      int  `xml:"zone,attr,omitempty"`
	Step      Span `xml:"step,attr,omitempty"`
}

// Dispatches limits the number of times that an op is sent to disk servers, and the retry delays sent to clients.
type Dispatches struct {
	Max            int  `xml:"most,attr"`
	HedgingAllowed bool `xml:"parallel,attr,omitempty"`
	MaxRetryAfter  Span `xml:"advice-most,attr,omitempty"`
}

// OpType is an op type. Its commands are those with its opcode and a length from MinBytes to MaxBytes, both included.
type OpType struct {
	Name          string     `xml:"name,attr"`
	Opcode        Opcode     `xml:"opcode,attr"`
	MinBytes      Bytes      `xml:"from,attr,omitempty"`
	MaxBytes      Bytes      `xml:"to,attr,omitempty"` // 0: up to Limits.MaxTransfer
	TargetLatency Span       `xml:"target-latency,attr"`
	OpTimeout     Span       `xml:"op-timeout,attr"`
	Utility       float64    `xml:"utility,attr"`
	LateUtility   float64    `xml:"late-utility,attr,omitempty"`
	Semantics     Semantics  `xml:"kind,attr"`
	DedupScope    DedupScope `xml:"scope,attr,omitempty"`
	DedupWindow   Span       `xml:"remember,attr,omitempty"`
	Ordered       bool       `xml:"ordered,attr,omitempty"`
}

// Plans holds the plans that volumes may have.
type Plans struct {
	List []Plan `xml:"plan"`
	// WithinShare is a factor on the utility of ops beyond a volume's reserve.
	WithinShare float64 `xml:"within-share,attr,omitempty"`
	// SpareShare is a factor on the utility of ops beyond a volume's expected rate.
	SpareShare float64 `xml:"spare,attr,omitempty"`
}

// Plan holds the guarantees and limits of each volume that has the plan. Rates are in units a second over all gateways.
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

// Volumes holds the namespaces and the sizes that all of them share.
type Volumes struct {
	List      []Volume `xml:"volume"`
	Block     Bytes    `xml:"block,attr"`
	Unit      Bytes    `xml:"unit,attr"`
	Extent    Bytes    `xml:"extent,attr"`
	MeanUnits float64  `xml:"mean-units,attr"`
}

// Volume is a namespace. Its extents are assigned to its cells in turn.
type Volume struct {
	NSID      uint32 `xml:"nsid,attr"`
	Name      string `xml:"name,attr"`
	Plan      string `xml:"plan,attr"`
	Size      Bytes  `xml:"size,attr"`
	Cells     string `xml:"cells,attr"`
	Instances int    `xml:"hosts,attr,omitempty"` // number of gateways that its ops arrive at; 0: all
}

// CellList returns the numbers of the cells.
func (v *Volume) CellList() []int {
	var cells []int
	for _, field := range strings.Fields(v.Cells) {
		cell, _ := strconv.Atoi(field) // the schema accepts only digits
		cells = append(cells, cell)
	}
	return cells
}

// Policy holds the parameters of the decision module's rules.
type Policy struct {
	SlowStart      *SlowStart   `xml:"cold"`
	RetryBudget    *RetryBudget `xml:"budget"`
	DrainGrace     Span         `xml:"drain-grace,attr"`
	AnswerMargin   Span         `xml:"answer-margin,attr"`
	OrderSettle    Span         `xml:"order-settle,attr,omitempty"`
	UsagePeriod    Span         `xml:"meter-period,attr,omitempty"`
	UsageElsewhere bool         `xml:"meter-elsewhere,attr,omitempty"`
}

// SlowStart holds the parameters by which the load of a new disk server is increased.
type SlowStart struct {
	From     float64 `xml:"from,attr"` // share of the full rate that a new server begins with
	Time     Span    `xml:"time,attr"` // time after which a server gets the full rate
	Window   Span    `xml:"window,attr"`
	Units    float64 `xml:"units,attr"`    // number of units that a server may always be sent in Window
	Multiple float64 `xml:"multiple,attr"` // a server is overloaded at this multiple of its rate
}

// RetryBudget limits retries and hedged requests in a window to Free plus a share of the ops admitted in it.
type RetryBudget struct {
	Free   float64 `xml:"free,attr"`
	Share  float64 `xml:"share,attr"`
	Window Span    `xml:"window,attr"`
}

// Limits bounds the resources that clients may use.
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

// ClientLimits bounds the resources that one client address may use; see docs/peers.md.
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

// DiskServers holds the parameters of connections to disk servers.
type DiskServers struct {
	Subsystem      string `xml:"subsystem,attr"`
	ConnectTimeout Span   `xml:"connect-within,attr"`
	KeepAlive      Span   `xml:"keep-alive,attr"`
	QueueDepth     int    `xml:"depth,attr"`
	Digests        bool   `xml:"digests,attr,omitempty"`
}

// FaultTest is the script of a fault test: the fake disk servers, the traffic, and the faults with their times.
type FaultTest struct {
	Gateways    int         `xml:"gateways,attr"`
	Duration    Span        `xml:"length,attr"`
	Clients     int         `xml:"clients,attr"` // at each gateway
	Retries     int         `xml:"retries,attr,omitempty"`
	FakeServers FakeServers `xml:"fleet"`
	Traffic     []Traffic   `xml:"traffic"`
	Faults      []Fault     `xml:"trouble"`
}

// FakeServers holds the performance model that all fake disk servers have.
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

// Traffic is a stream of ops of one type, over all gateways.
type Traffic struct {
	OpType    string  `xml:"op-type,attr"`
	Rate      float64 `xml:"rate,attr"` // ops a second
	OpBytes   Bytes   `xml:"bytes,attr"`
	ExtentRun int     `xml:"run,attr,omitempty"` // number of consecutive ops on one extent
}

// Fault is a fault that begins at Start and lasts for Duration. Depending on its kind, it affects Count servers,
// gateways or clients, or multiplies a quantity by Factor.
type Fault struct {
	Kind     string  `xml:"kind,attr"`
	Start    Span    `xml:"at,attr"`
	Duration Span    `xml:"for,attr"`
	Count    int     `xml:"count,attr,omitempty"`
	Factor   float64 `xml:"times,attr,omitempty"`
	Plan     string  `xml:"plan,attr,omitempty"`
}

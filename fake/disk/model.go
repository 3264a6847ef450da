package disk

import (
	"time"

	"honeyplank/eventloop"
	"honeyplank/settings"
	"honeyplank/target"
)

// Model is what a fake disk server is like.
type Model struct {
	// FakeServers has the cores, the queue, the service times and the intervals of reports and pauses.
	settings.FakeServers
	// Block, Unit and Extent are sizes in bytes.
	Block  int
	Unit   int
	Extent int64
	// ColdCapacity is the part of its capacity that a server has at its start; it grows to the whole in ColdTime.
	ColdCapacity float64
	ColdTime     time.Duration
	// A cold server that receives more than OverloadFactor times its capacity within OverloadWindow ends; with a factor
	// of 0 none does.
	OverloadFactor float64
	OverloadWindow time.Duration
	// Meter, where set, counts the usage of volumes.
	Meter *Meter
	// Target is how the server speaks NVMe/TCP.
	Target target.Settings
	// Tap, where set, is asked for a tap of each new connection.
	Tap func() func(sent bool, b []byte)
	// OnConnection, where set, is called with each new connection.
	OnConnection func(*eventloop.Conn)
}

// Faults are what is wrong with a server now.
type Faults struct {
	// Silent drops input and serves nothing, though connections are accepted.
	Silent bool
	// NoHandshake closes all connections and drops the input of new ones.
	NoHandshake bool
	// SlowFactor multiplies service times; 0: 1.
	SlowFactor float64
	// FailShare is the share of ops that fail at once.
	FailShare float64
	// DropShare is the share of answers that are not sent.
	DropShare float64
	// Truncate breaks off the next answer with data in its middle.
	Truncate bool
	// StaleReports has load reports stay as they are.
	StaleReports bool
	// Draining rejects new ops.
	Draining bool
}

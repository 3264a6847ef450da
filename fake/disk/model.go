package disk

import (
	"time"

	"honeyplank/eventloop"
	"honeyplank/settings"
	"honeyplank/target"
)

// Model is the configuration of a fake disk server.
type Model struct {
	// FakeServers sets the number of cores, the queue limit, the service times and the intervals of load reports and
	// pauses.
	settings.FakeServers
	// Block, Unit and Extent are sizes in bytes.
	Block  int
	Unit   int
	Extent int64
	// ColdCapacity is the fraction of its full capacity that a server has when it starts. The fraction grows linearly
	// to 1 within ColdTime.
	ColdCapacity float64
	ColdTime     time.Duration
	// A cold server kills itself when the units that it receives within OverloadWindow are more than OverloadFactor
	// times those that its current capacity serves in that time. A factor of 0 disables this.
	OverloadFactor float64
	OverloadWindow time.Duration
	// Meter, if set, counts the usage of volumes.
	Meter *Meter
	// Target holds the NVMe/TCP settings of the server.
	Target target.Settings
	// Tap, if set, is called for each new connection and returns the tap of that connection.
	Tap func() func(sent bool, b []byte)
	// OnConnection, if set, is called with each new connection.
	OnConnection func(*eventloop.Conn)
}

// Faults are the faults that a server injects.
type Faults struct {
	// Silent makes the server accept connections, but drop all input and serve nothing.
	Silent bool
	// NoHandshake makes the server close all connections and drop the input of new ones.
	NoHandshake bool
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64
	// FailShare is the fraction of ops that fail immediately.
	FailShare float64
	// DropShare is the fraction of answers that are not sent.
	DropShare float64
	// Truncate makes the server send only half of the next answer that has data, and break the connection.
	Truncate bool
	// StaleReports stops the periodic update of the load report.
	StaleReports bool
	// Draining makes the server reject new ops.
	Draining bool
}

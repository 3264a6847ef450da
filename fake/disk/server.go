// Package disk is a fake disk server, for use in tests, fault tests and benchmarks only. It speaks the NVMe/TCP subset
// of package target, models cores, a bounded queue and service times, stores written data and injects faults on
// request. Data is kept in memory. Service times come from a model and say nothing about real disks.
//
// A server runs on the event loop that is passed to New. Functions, methods and fields may be used only on the
// goroutine of that loop. The package starts no goroutine.
package disk

import (
	"math/rand"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
	"honeyplank/target"
)

// Server is a fake disk server. It is the handler of its target.
type Server struct {
	// Faults are the faults set by the last call of SetFaults. Start clears them.
	Faults Faults
	// Overloaded is set when the server kills itself because it received too many units while it was cold.
	Overloaded bool
	// Started is the time of the last cold start, by the loop's clock; 0 means that the server has never started cold.
	Started time.Duration

	model   Model
	loop    *eventloop.Loop
	rng     *rand.Rand
	target  *target.Server
	address string
	process process
	// generation is the number of kills. An op that was begun in an earlier generation is not finished.
	generation         int
	storage            *storage
	usage              volumeUsage
	cached             []uint64 // most recently served extents, newest first
	load               nvme.Load
	averageServiceTime float64 // moving average, in seconds
}

// process is the state that is lost when the server is killed.
type process struct {
	queue        []*target.Command
	busyCores    int
	pausedUntil  time.Duration // no op is begun before this time
	deferredWork time.Duration // of writes; the server has not paused for it yet
	received     []arrival     // within the overload window
}

// New starts a warm server that listens on address; port 0 selects a free port. Seed initializes the random numbers of
// the model.
func New(l *eventloop.Loop, address string, model Model, seed int64) (*Server, error) {
	s := &Server{
		model:   model,
		loop:    l,
		rng:     rand.New(rand.NewSource(seed)),
		address: address,
		storage: newStorage(model.Block),
		usage:   newVolumeUsage(),
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.repeat(model.DeferredWorkEvery.Duration(), s.runDeferred)
	s.repeat(model.PauseEvery.Duration(), func() { s.PauseFor(model.Pause.Duration()) })
	s.repeat(model.ReportInterval.Duration(), func() {
		if !s.Faults.StaleReports {
			s.reportLoad()
		}
	})
	return s, nil
}

func (s *Server) listen() error {
	server, err := target.Listen(s.loop, s.address, s.model.Target, s)
	if err != nil {
		return err
	}
	s.target, s.address = server, server.Address()
	server.Tap, server.OnConnect = s.model.Tap, s.model.OnConnection
	return nil
}

// repeat calls f repeatedly for as long as the loop runs, each time after a random 75 % to 125 % of interval, and
// begins queued ops after each call. It does nothing if interval is not positive.
func (s *Server) repeat(interval time.Duration, f func()) {
	if interval <= 0 {
		return
	}
	next := time.Duration(float64(interval) * (0.75 + s.rng.Float64()/2))
	s.loop.Schedule(s.loop.Now()+next, func() {
		f()
		s.beginQueued()
		s.repeat(interval, f)
	})
}

// Address returns the address on which the server listens. It is the same for all its starts.
func (s *Server) Address() string { return s.address }

// Kill ends the server as if its process had been killed. Stored data is kept.
func (s *Server) Kill() {
	s.target.Kill()
	s.process = process{}
	s.generation++
}

// Start restarts a killed server, cold and without faults.
func (s *Server) Start() error {
	s.Faults, s.Started = Faults{}, s.loop.Now()
	return s.listen()
}

// Replace makes s, a new server, the replacement of a killed one: s shares the stored data of former and is cold from
// now on.
func (s *Server) Replace(former *Server) { s.storage, s.Started = former.storage, s.loop.Now() }

// PauseFor keeps the server from beginning ops for the given time. Ops that have begun still finish.
func (s *Server) PauseFor(span time.Duration) {
	s.process.pausedUntil = max(s.process.pausedUntil, s.loop.Now()+span)
}

// SetFaults replaces the faults of the server.
func (s *Server) SetFaults(faults Faults) {
	s.Faults = faults
	s.target.DropAllInput, s.target.DropNewInput = faults.Silent, faults.NoHandshake
	if faults.NoHandshake {
		s.target.AbortConnections()
	}
	s.beginQueued()
}

// LogPage returns the load log page, and reports false for any other page. The target calls it.
func (s *Server) LogPage(id uint8) ([]byte, bool) {
	if id != nvme.LogLoad {
		return nil, false
	}
	return nvme.AppendLoad(nil, s.load), true
}

// reportLoad updates the load report.
func (s *Server) reportLoad() {
	const latencyUnitsPerSecond = 10000 // units of nvme.Load.Latency
	s.load = nvme.Load{
		Latency:  clampUint16(s.averageServiceTime * latencyUnitsPerSecond),
		Inflight: clampUint16(float64(s.process.busyCores + len(s.process.queue))),
	}
}

// Package disk is a fake disk server: it speaks the same NVMe/TCP subset, has cores, a bounded queue and service
// times, stores what is written, and has faults on command. It keeps its data in memory, and its service times are a
// model's: they say nothing about real disks. It must not be used but by tests and fault tests.
//
// All of it runs on the event loop that it is given: functions, methods and fields may be used on the goroutine of
// that loop only. The package starts no goroutine.
package disk

import (
	"math/rand"
	"time"

	"honeyplank/eventloop"
	"honeyplank/nvme"
	"honeyplank/target"
)

// Server is one fake disk server. It is the handler of its target.
type Server struct {
	// Faults are those of SetFaults.
	Faults Faults
	// Overloaded is whether the server has ended because it was sent too much while it was cold.
	Overloaded bool
	// Started is the last start, by the loop's clock; 0: long ago.
	Started time.Duration

	model   Model
	loop    *eventloop.Loop
	rng     *rand.Rand
	target  *target.Server
	address string
	process process
	// generation counts the deaths of the process: what an earlier one began is void.
	generation int
	storage    *storage
	usage      volumeUsage
	cached     []uint64 // extents served last, newest first
	load       nvme.Load
	recent     float64 // moving average of service times, in seconds
}

// process is what is lost when the server is killed.
type process struct {
	queue        []*target.Command
	busyCores    int
	stalledUntil time.Duration // nothing is begun before
	deferredWork time.Duration // of writes, not done yet
	received     []arrival     // units received within the overload window
}

// New starts a warm server at an address, port 0 for any.
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
	s.repeat(model.DeferredWorkEvery.Duration(), s.doDeferredWork)
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

// repeat calls f about once an interval, if that is positive, for as long as the loop runs.
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

// Address is where it listens, the same over all its starts.
func (s *Server) Address() string { return s.address }

// Kill ends the server as the death of its process does; what it has stored stays.
func (s *Server) Kill() {
	s.target.Kill()
	s.process = process{}
	s.generation++
}

// Start starts it again, cold and without faults.
func (s *Server) Start() error {
	s.Faults, s.Started = Faults{}, s.loop.Now()
	return s.listen()
}

// Replace makes a new server the replacement of one that is dead: it has the same data and starts cold now.
func (s *Server) Replace(former *Server) { s.storage, s.Started = former.storage, s.loop.Now() }

// PauseFor has the server begin nothing for a time.
func (s *Server) PauseFor(span time.Duration) {
	s.process.stalledUntil = max(s.process.stalledUntil, s.loop.Now()+span)
}

// SetFaults sets what is wrong with the server from now on.
func (s *Server) SetFaults(faults Faults) {
	s.Faults = faults
	s.target.DropAllInput, s.target.DropNewInput = faults.Silent, faults.NoHandshake
	if faults.NoHandshake {
		s.target.AbortConnections()
	}
	s.beginQueued()
}

// Log returns the load log page. The target calls it.
func (s *Server) Log(id uint8) ([]byte, bool) {
	if id != nvme.LogLoad {
		return nil, false
	}
	return nvme.AppendLoad(nil, s.load), true
}

// reportLoad computes the load report.
func (s *Server) reportLoad() {
	const latencyUnitsPerSecond = 10000 // of nvme.Load.Latency
	s.load = nvme.Load{
		Latency:  clampUint16(s.recent * latencyUnitsPerSecond),
		Inflight: clampUint16(float64(s.process.busyCores + len(s.process.queue))),
	}
}

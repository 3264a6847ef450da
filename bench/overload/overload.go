// Package overload plays clients that burden one scheduler of the platform, beside ordinary clients, and measures from
// outside what becomes of both: the memory of the whole process with the kernel's buffers for its sockets, the times of
// the ordinary clients, and requests that are sent on after their client has left. The scheduler is a process of its
// own; its disk servers and discovery are fakes. All addresses are on loopback.
package overload

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	fakeresp "honeyplank/fake/resp"
)

// Options are the parameters of a run.
type Options struct {
	Program     string // the command of the scheduler; it is started with the argument platform
	Seed        int64
	Length      time.Duration // of the abuse
	Abuses      []Abuse       // played one after another; each gets an equal part of Length
	Clients     int           // abusive clients
	Servers     int
	MemoryMB    int
	Descriptors int
	ValueBytes  int       // of the values of disk servers
	Log         io.Writer // the log of the scheduler; nil: none
}

// Report is the result of a run.
type Report struct {
	Abuse      string
	LimitMB    int
	Peak       Memory        // the largest total
	PeakAt     time.Duration // since the start of the abuse
	First      int           // total at the start of the abuse, in bytes
	Last       int           // total at its end, in bytes
	Crashed    bool          // the scheduler has ended by itself
	AbuseSent  int64         // commands of abusive clients
	Ordinary   Tally
	SentOnLate int // commands that reached a disk server over leaveSlack after their client had left
}

const (
	settleTime     = time.Second // of ordinary clients alone, before the abuse
	sampleInterval = 20 * time.Millisecond
	// leaveSlack is the time after the close of a connection from which its requests may not reach a disk server.
	leaveSlack = 150 * time.Millisecond
)

// Run plays the abuses and returns a report. It stops early if the scheduler ends.
func Run(ctx context.Context, o Options) (*Report, error) {
	departures := departures{at: map[string]time.Time{}}
	d, err := deploy(ctx, o, departures.observe)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	var names []string
	for _, x := range o.Abuses {
		names = append(names, x.Name)
	}
	r := &Report{Abuse: strings.Join(names, ", "), LimitMB: o.MemoryMB}
	start := time.Now().Add(settleTime)
	end := start.Add(o.Length)
	clients := &ordinary{}
	var running sync.WaitGroup
	for n := range ordinaryClients {
		rng := rand.New(rand.NewSource(o.Seed + int64(n)))
		running.Go(func() { clients.run(d.address, n, o.Servers, rng, end) })
	}
	running.Go(func() { r.sample(d, start, end) })
	time.Sleep(time.Until(start))
	o.playAbuses(d.address, &departures, &r.AbuseSent)
	running.Wait()
	r.Ordinary, r.SentOnLate = clients.result(), departures.late
	return r, nil
}

// playAbuses plays one abuse after another.
func (o Options) playAbuses(address string, left *departures, sent *int64) {
	var serial, count atomic.Int64
	for i, x := range o.Abuses {
		end := time.Now().Add(o.Length / time.Duration(len(o.Abuses)))
		var abusers sync.WaitGroup
		for n := range o.Clients {
			a := abuser{
				rng:    rand.New(rand.NewSource(o.Seed ^ int64(i)<<32 ^ int64(n))),
				number: n, servers: o.Servers, end: end, serial: &serial, left: left.leave, sent: &count,
			}
			abusers.Go(func() { x.run(address, a) })
		}
		abusers.Wait()
	}
	*sent = count.Load()
}

// sample measures the memory of the scheduler from start to end, or until the scheduler ends.
func (r *Report) sample(d *deployment, start, end time.Time) {
	for ; time.Now().Before(end); time.Sleep(sampleInterval) {
		memory, err := processMemory(d.process.Process.Pid)
		if d.hasEnded() {
			r.Crashed = true
			return
		}
		if err != nil || time.Now().Before(start) {
			continue
		}
		if r.First == 0 {
			r.First = memory.Total()
		}
		if r.Last = memory.Total(); memory.Total() > r.Peak.Total() {
			r.Peak, r.PeakAt = memory, time.Since(start)
		}
	}
}

// departures are the ids of clients that have left, and the requests that came at a disk server later.
type departures struct {
	mu   sync.Mutex // guards the fields below
	at   map[string]time.Time
	late int
}

func (d *departures) leave(id string, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at[id] = at
}

// observe notes a command that has reached a disk server.
func (d *departures) observe(c fakeresp.Command) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, left := d.at[c.ID]; left && c.At.Sub(at) > leaveSlack {
		d.late++
	}
}

// String returns the report as one line.
func (r *Report) String() string {
	mb := func(bytes int) float64 { return float64(bytes) / bytesPerMB }
	state := ""
	if r.Crashed {
		state = ", ENDED"
	}
	o := &r.Ordinary
	return fmt.Sprintf("%-20s peak %5.1f of %d MB (resident %5.1f, sockets %5.1f, after %v), %5.1f to %5.1f%s; "+
		"%d commands; ordinary: %d served, %d rejected, %d failed, %d late, %d unanswered, %d refused, "+
		"p50 %v, p99 %v, max %v; %d sent on",
		r.Abuse, mb(r.Peak.Total()), r.LimitMB, mb(r.Peak.Resident), mb(r.Peak.Sockets),
		r.PeakAt.Round(100*time.Millisecond), mb(r.First), mb(r.Last), state,
		r.AbuseSent, o.Served, o.Rejected, o.Failed, o.Late, o.Unanswered, o.Refused,
		o.Quantile(0.5).Round(time.Millisecond), o.Quantile(0.99).Round(time.Millisecond),
		o.Quantile(1).Round(time.Millisecond), r.SentOnLate)
}

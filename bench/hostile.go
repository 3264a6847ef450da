package bench

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"honeyplank/nvme"
	"honeyplank/settings"
)

// Hostility is what honest clients have beside hostile peers, as ratios to the same load alone.
type Hostility struct {
	Connections int     `json:"hostile_connections"`
	Alone       Phase   `json:"alone"`
	Beside      Phase   `json:"beside"`
	Tried       int64   `json:"connections_tried"`
	Turned      int64   `json:"turned_away"`
	Stood       int     `json:"stood_at_most"` // connections at the gateway, honest ones too
	Heap        float64 `json:"heap_mib"`      // of the whole process, at most while they are there
	Recovery    float64 `json:"recovery_ms"`   // after they have left, until 95% of the throughput alone
}

// hostilities are the ways in which a hostile connection behaves; each ends by itself when done is closed.
var hostilities = []func(c net.Conn, done chan struct{}){
	func(c net.Conn, done chan struct{}) { wait(c, done, nil) }, // says nothing
	func(c net.Conn, done chan struct{}) { wait(c, done, []byte("GET / HTTP/1.1\r\n\r\n")) },
	func(c net.Conn, done chan struct{}) { // a byte a second
		for c.SetReadDeadline(time.Now().Add(time.Second)) == nil {
			if _, err := c.Write([]byte{0}); err != nil || over(c, done) {
				return
			}
		}
	},
	func(c net.Conn, done chan struct{}) { // a handshake that is right, then a length that lies
		b := nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
		wait(c, done, append(b, nvme.TypeCapsuleCmd, 0, 72, 0, 0xFF, 0xFF, 0xFF, 0xFF))
	},
	func(c net.Conn, done chan struct{}) { // data that nobody asked for
		b := nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
		f := nvme.Framing{}
		wait(c, done, f.AppendData(b, nvme.TypeH2CData, nvme.FlagLast, 1, 1, 0, make([]byte, 4096)))
	},
}

func wait(c net.Conn, done chan struct{}, say []byte) {
	c.Write(say)
	for c.SetReadDeadline(time.Now().Add(100*time.Millisecond)) == nil && !over(c, done) {
	}
}

// over reads what comes and tells whether the connection or the measurement has ended.
func over(c net.Conn, done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
	}
	_, err := c.Read(make([]byte, 512))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Hostile drives honest load alone, then beside hostile connections that come again whenever they are ended, from
// sixteen loopback addresses.
func Hostile(connections int, seconds float64) (*Hostility, error) {
	r, g, fall, err := raise(func(s *settings.Gateway) {
		s.Limits.MaxConnections = 4 * connections
		s.Limits.Client = &settings.ClientLimits{MaxConnections: 64, MaxHandshakes: 16, MaxBufferedBytes: 1 << 20, PDUTimeout: settings.Span(500 * time.Millisecond), BanThreshold: 5,
			ViolationWindow: settings.Span(5 * time.Second), InitialBan: settings.Span(time.Second), MaxBan: settings.Span(10 * time.Second)}
	})
	if err != nil {
		return nil, err
	}
	defer fall()
	var through []string
	for range r.servers {
		through = append(through, g.Address())
	}
	honest, err := r.connect(through, r.script.Listen.Subsystem, true)
	if err != nil {
		return nil, err
	}
	defer honest.close()
	const depth = 128
	h := &Hostility{Connections: connections}
	measure := func(p *Phase) {
		honest.refused = 0
		n, took := honest.saturate(depth, seconds)
		p.Throughput = float64(n) / took.Seconds()
		hist := honest.steady(1000, seconds)
		p.P50, p.P99, p.Refused = float64(hist.ValueAtQuantile(50)), float64(hist.ValueAtQuantile(99)), honest.refused
	}
	honest.saturate(depth, seconds/2)
	measure(&h.Alone)
	done := make(chan struct{})
	var group sync.WaitGroup
	var tried, turned atomic.Int64
	for i := range connections {
		group.Add(1)
		go func() {
			defer group.Done()
			d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+i%16))}, Timeout: time.Second}
			for {
				tried.Add(1)
				began := time.Now()
				if c, err := d.Dial("tcp", g.Address()); err == nil {
					hostilities[i%len(hostilities)](c, done)
					c.Close()
				}
				if time.Since(began) < 50*time.Millisecond {
					turned.Add(1)
				}
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond): // each comes again five times a second at most
				}
			}
		}()
	}
	watching := make(chan struct{})
	go func() {
		defer close(watching)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			c, _ := g.Counts()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			h.Stood, h.Heap = max(h.Stood, c.Connections), max(h.Heap, float64(m.HeapAlloc)/(1<<20))
		}
	}()
	measure(&h.Beside)
	close(done)
	<-watching
	group.Wait()
	left := time.Now()
	for time.Since(left) < 30*time.Second {
		if n, took := honest.saturate(depth, 0.1); float64(n)/took.Seconds() >= 0.95*h.Alone.Throughput {
			break
		}
	}
	h.Recovery = float64(time.Since(left).Milliseconds())
	h.Tried, h.Turned = tried.Load(), turned.Load()
	return h, nil
}

// String is the report for people.
func (h *Hostility) String() string {
	return fmt.Sprintf("%d hostile connections beside honest load; figures are of stand-ins on loopback, the hostile peers share the machine\n\n"+
		"%-26s %12s %12s %8s\n%-26s %12.0f %12.0f %8.2f\n%-26s %12.0f %12.0f %8.2f\n%-26s %12d %12d\n\n"+
		"hostile connections tried %d times, %d ended within 50 ms; at most %d stood; heap at most %.0f MiB\n"+
		"95%% of the throughput alone %.0f ms after they had left\n",
		h.Connections, "", "alone", "beside", "ratio", "ops a second, saturated", h.Alone.Throughput, h.Beside.Throughput, h.Beside.Throughput/h.Alone.Throughput,
		"p99 at 1,000 a second, us", h.Alone.P99, h.Beside.P99, h.Beside.P99/h.Alone.P99, "not acked", h.Alone.Refused, h.Beside.Refused,
		h.Tried, h.Turned, h.Stood, h.Heap, h.Recovery)
}

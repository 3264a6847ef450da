package bench

import (
	"errors"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"honeyplank/gateway"
	"honeyplank/nvme"
	"honeyplank/settings"
)

const (
	hostileAddresses    = 16                     // loopback addresses that hostile connections come from
	reconnectInterval   = 200 * time.Millisecond // between two connections of one hostile client
	hostileDialTimeout  = time.Second
	rejectedWithin      = 50 * time.Millisecond // a connection that ends sooner counts as rejected
	hostileReadInterval = 100 * time.Millisecond
	slowByteInterval    = time.Second
	sampleInterval      = 100 * time.Millisecond

	honestInFlight   = 128  // ops of honest clients at saturation
	honestRate       = 1000 // ops a second where latency is measured
	recoveryTimeout  = 30 * time.Second
	recoveryInterval = 100 * time.Millisecond
	recoveredShare   = 0.95 // of the throughput alone
)

// AbusiveReport is what honest clients get beside hostile ones.
type AbusiveReport struct {
	Connections    int     `json:"hostile_connections"`
	Alone          Phase   `json:"alone"`
	WithAbusive    Phase   `json:"beside"`
	Attempts       int64   `json:"connection_attempts"`
	Rejected       int64   `json:"rejected_connections"`
	MaxConnections int     `json:"max_connections"` // at the gateway, honest ones too
	Heap           float64 `json:"heap_mib"`        // of the whole process, at most
	Recovery       float64 `json:"recovery_ms"`     // after the hostile clients have gone, until 95 % of the throughput
}

// hostileBehaviour is what a hostile client does on one connection, until that ends or done is closed.
type hostileBehaviour func(c net.Conn, done <-chan struct{})

var hostileBehaviours = []hostileBehaviour{
	sendAndStay(nil),
	sendAndStay([]byte("GET / HTTP/1.1\r\n\r\n")),
	sendSlowly,
	sendAndStay(withWrongLength()),
	sendAndStay(withUnrequestedData()),
}

// withWrongLength is a valid handshake with a PDU behind it whose length is wrong.
func withWrongLength() []byte {
	b := nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
	return append(b, nvme.TypeCapsuleCmd, 0, 72, 0, 0xFF, 0xFF, 0xFF, 0xFF)
}

// withUnrequestedData is a valid handshake with data behind it that no R2T has asked for.
func withUnrequestedData() []byte {
	b := nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
	framing := nvme.Framing{}
	header := nvme.DataHeader{Type: nvme.TypeH2CData, Flags: nvme.FlagLast, CID: 1, TTAG: 1}
	return framing.AppendData(b, header, make([]byte, opBytes))
}

// sendAndStay sends bytes and keeps the connection open.
func sendAndStay(b []byte) hostileBehaviour {
	return func(c net.Conn, done <-chan struct{}) {
		if _, err := c.Write(b); err != nil {
			return
		}
		for !hasEnded(c, hostileReadInterval, done) {
		}
	}
}

// sendSlowly sends a byte at long intervals.
func sendSlowly(c net.Conn, done <-chan struct{}) {
	for {
		if _, err := c.Write([]byte{0}); err != nil || hasEnded(c, slowByteInterval, done) {
			return
		}
	}
}

// hasEnded reads for a time and reports whether the connection has ended or done is closed.
func hasEnded(c net.Conn, wait time.Duration, done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
	}
	if err := c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return true
	}
	_, err := c.Read(make([]byte, 512))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Abusive drives honest load alone, then beside a number of hostile connections, which are made again whenever they
// end, and then until the load has recovered. length is that of each phase, in seconds.
func Abusive(connections int, length float64) (*AbusiveReport, error) {
	bed, err := newTestbed(func(s *settings.Gateway) { limitClients(s, connections) })
	if err != nil {
		return nil, err
	}
	defer bed.close()
	honest, err := newDriver(bed, bed.gatewayAddresses(), bed.settings.Listen.Subsystem)
	if err != nil {
		return nil, err
	}
	defer honest.close()
	duration := seconds(length)
	report := &AbusiveReport{Connections: connections}
	honest.saturate(honestInFlight, duration/2)
	report.Alone = measureHonest(honest, duration)
	clients := startHostileClients(connections, bed.gateway.Address())
	usage := startUsageSampler(bed.gateway)
	report.WithAbusive = measureHonest(honest, duration)
	usage.stop()
	clients.stop()
	report.MaxConnections, report.Heap = usage.maxConnections, usage.maxHeap
	report.Recovery = milliseconds(awaitRecovery(honest, report.Alone.Throughput))
	report.Attempts, report.Rejected = clients.attempts.Load(), clients.rejected.Load()
	return report, nil
}

// limitClients bounds what the clients of one address may use.
func limitClients(s *settings.Gateway, connections int) {
	s.Limits.MaxConnections = 4 * connections
	s.Limits.Client = &settings.ClientLimits{
		MaxConnections:   64,
		MaxHandshakes:    16,
		MaxBufferedBytes: 1 << 20,
		PDUTimeout:       settings.Span(500 * time.Millisecond),
		BanThreshold:     5,
		ViolationWindow:  settings.Span(5 * time.Second),
		InitialBan:       settings.Span(time.Second),
		MaxBan:           settings.Span(10 * time.Second),
	}
}

// measureHonest measures the honest clients for one phase.
func measureHonest(honest *driver, duration time.Duration) Phase {
	honest.unsuccessful = 0
	completed, took := honest.saturate(honestInFlight, duration)
	latency := honest.sendAtRate(honestRate, duration)
	return Phase{
		Throughput:   float64(completed) / took.Seconds(),
		P50:          float64(latency.ValueAtQuantile(50)),
		P99:          float64(latency.ValueAtQuantile(99)),
		Unsuccessful: honest.unsuccessful,
	}
}

// awaitRecovery saturates the gateway in short steps until it has its throughput again, and returns how long that
// took.
func awaitRecovery(honest *driver, throughput float64) time.Duration {
	began := time.Now()
	for time.Since(began) < recoveryTimeout {
		completed, took := honest.saturate(honestInFlight, recoveryInterval)
		if float64(completed)/took.Seconds() >= recoveredShare*throughput {
			break
		}
	}
	return time.Since(began)
}

// hostileClients are clients that connect again and again.
type hostileClients struct {
	attempts atomic.Int64
	rejected atomic.Int64
	done     chan struct{}
	running  sync.WaitGroup
}

func startHostileClients(n int, address string) *hostileClients {
	clients := &hostileClients{done: make(chan struct{})}
	for i := range n {
		clients.running.Go(func() { clients.run(i, address) })
	}
	return clients
}

func (h *hostileClients) stop() {
	close(h.done)
	h.running.Wait()
}

// run is one client, until stop.
func (h *hostileClients) run(i int, address string) {
	source := net.IPv4(127, 0, 1, byte(1+i%hostileAddresses))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: source}, Timeout: hostileDialTimeout}
	for {
		h.attempts.Add(1)
		began := time.Now()
		if c, err := dialer.Dial("tcp", address); err == nil {
			hostileBehaviours[i%len(hostileBehaviours)](c, h.done)
			_ = c.Close() // nothing of it is needed any more
		}
		if time.Since(began) < rejectedWithin {
			h.rejected.Add(1)
		}
		select {
		case <-h.done:
			return
		case <-time.After(reconnectInterval):
		}
	}
}

// usageSampler samples a gateway's connections and the heap. Its results may be read after stop.
type usageSampler struct {
	maxConnections int
	maxHeap        float64 // MiB
	done           chan struct{}
	ended          chan struct{}
}

func startUsageSampler(g *gateway.Instance) *usageSampler {
	u := &usageSampler{done: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(u.ended)
		for {
			select {
			case <-u.done:
				return
			case <-time.After(sampleInterval):
			}
			counts, _ := g.Counts() // the gateway runs
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			u.maxConnections = max(u.maxConnections, counts.Connections)
			u.maxHeap = max(u.maxHeap, float64(memory.HeapAlloc)/bytesOfMiB)
		}
	}()
	return u
}

func (u *usageSampler) stop() {
	close(u.done)
	<-u.ended
}

// String is the report as text.
func (r *AbusiveReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d hostile connections beside honest load; figures are of fakes on loopback, ", r.Connections)
	b.WriteString("the hostile clients share the machine\n\n")
	fmt.Fprintf(&b, "%-26s %12s %12s %8s\n", "", "alone", "beside", "ratio")
	row := func(name string, alone, beside float64) {
		fmt.Fprintf(&b, "%-26s %12.0f %12.0f %8.2f\n", name, alone, beside, beside/alone)
	}
	row("ops a second, saturated", r.Alone.Throughput, r.WithAbusive.Throughput)
	row("p99 at 1,000 a second, us", r.Alone.P99, r.WithAbusive.P99)
	fmt.Fprintf(&b, "%-26s %12d %12d\n\n", "not succeeded", r.Alone.Unsuccessful, r.WithAbusive.Unsuccessful)
	fmt.Fprintf(&b, "hostile connections tried %d times, %d ended within 50 ms; ", r.Attempts, r.Rejected)
	fmt.Fprintf(&b, "at most %d open; heap at most %.0f MiB\n", r.MaxConnections, r.Heap)
	fmt.Fprintf(&b, "95%% of the throughput alone %.0f ms after they had left\n", r.Recovery)
	return b.String()
}

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
	abusiveAddresses    = 16                     // number of loopback addresses from which abusive clients connect
	reconnectInterval   = 200 * time.Millisecond // between two connections of one abusive client
	abusiveDialTimeout  = time.Second
	abusiveWriteTimeout = time.Second
	maxRejectionTime    = 50 * time.Millisecond // a connection attempt that ends sooner counts as rejected
	abusiveReadInterval = 100 * time.Millisecond
	slowByteInterval    = time.Second
	sampleInterval      = 100 * time.Millisecond

	regularOpsInFlight = 128  // ops of regular clients at saturation
	regularOpRate      = 1000 // ops per second while latency is measured
	recoveryTimeout    = 30 * time.Second
	recoveryInterval   = 100 * time.Millisecond
	recoveredShare     = 0.95 // share of the throughput without abusive clients that counts as recovered
)

// AbusiveReport compares the service of regular clients without and with abusive clients.
type AbusiveReport struct {
	Connections    int     `json:"hostile_connections"`
	WithoutAbusive Phase   `json:"alone"`
	WithAbusive    Phase   `json:"beside"`
	Attempts       int64   `json:"connection_attempts"`
	Rejected       int64   `json:"rejected_connections"`
	MaxConnections int     `json:"max_connections"` // largest number open at the gateway, regular clients included
	Heap           float64 `json:"heap_mib"`        // largest heap of the whole process
	// Recovery is the time from the end of the abusive clients until the throughput has reached recoveredShare of that
	// without abusive clients, or until recoveryTimeout.
	Recovery float64 `json:"recovery_ms"`
}

// abusiveBehaviour runs an abusive client on one connection. It returns when the connection ends or done is closed.
type abusiveBehaviour func(c net.Conn, done <-chan struct{})

var abusiveBehaviours = []abusiveBehaviour{
	sendAndKeepOpen(nil),
	sendAndKeepOpen([]byte("GET / HTTP/1.1\r\n\r\n")),
	sendSlowly,
	sendAndKeepOpen(handshakeWithWrongLength()),
	sendAndKeepOpen(handshakeWithUnsolicitedData()),
}

// handshakeWithWrongLength returns a valid handshake followed by a PDU with a wrong length.
func handshakeWithWrongLength() []byte {
	b := nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
	return append(b, nvme.TypeCapsuleCmd, 0, 72, 0, 0xFF, 0xFF, 0xFF, 0xFF)
}

// handshakeWithUnsolicitedData returns a valid handshake followed by data that no R2T has requested.
func handshakeWithUnsolicitedData() []byte {
	b := nvme.AppendInit(nil, nvme.TypeICReq, nvme.Init{})
	framing := nvme.Framing{}
	header := nvme.DataHeader{Type: nvme.TypeH2CData, Flags: nvme.FlagLast, CID: 1, TTAG: 1}
	return framing.AppendData(b, header, make([]byte, opBytes))
}

// sendAndKeepOpen returns a behaviour that sends b and keeps the connection open.
func sendAndKeepOpen(b []byte) abusiveBehaviour {
	return func(c net.Conn, done <-chan struct{}) {
		if !write(c, b) {
			return
		}
		for !hasEnded(c, abusiveReadInterval, done) {
		}
	}
}

// sendSlowly sends one byte in each slowByteInterval.
func sendSlowly(c net.Conn, done <-chan struct{}) {
	for write(c, []byte{0}) && !hasEnded(c, slowByteInterval, done) {
	}
}

// write writes b. It returns false if the connection has ended or the peer does not read within abusiveWriteTimeout.
func write(c net.Conn, b []byte) bool {
	if err := c.SetWriteDeadline(time.Now().Add(abusiveWriteTimeout)); err != nil {
		return false
	}
	_, err := c.Write(b)
	return err == nil
}

// hasEnded reads from the connection for at most wait. It reports whether the connection has ended, or done was closed
// before the read.
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

// Abusive measures throughput and latency of regular clients without abusive clients, then with the given number of
// abusive connections, which are opened again whenever they end, and then the time until the throughput has recovered.
// length is the duration of each measurement of throughput and of latency, in seconds.
func Abusive(connections int, length float64) (*AbusiveReport, error) {
	bed, err := newTestbed(func(s *settings.Gateway) { limitClients(s, connections) })
	if err != nil {
		return nil, err
	}
	defer bed.close()
	regular, err := newDriver(bed, bed.gatewayAddresses(), bed.settings.Listen.Subsystem)
	if err != nil {
		return nil, err
	}
	defer regular.close()
	duration := seconds(length)
	report := &AbusiveReport{Connections: connections}
	regular.saturate(regularOpsInFlight, duration/2)
	report.WithoutAbusive = measureRegularClients(regular, duration)
	clients := startAbusiveClients(connections, bed.gateway.Address())
	usage := startUsageSampler(bed.gateway)
	report.WithAbusive = measureRegularClients(regular, duration)
	usage.stop()
	clients.stop()
	report.MaxConnections, report.Heap = usage.maxConnections, usage.maxHeap
	report.Recovery = milliseconds(awaitRecovery(regular, report.WithoutAbusive.Throughput))
	report.Attempts, report.Rejected = clients.attempts.Load(), clients.rejected.Load()
	return report, nil
}

// limitClients sets the gateway's connection limit and the limits of the clients of one address.
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

// measureRegularClients measures throughput and latency of the regular clients in one phase.
func measureRegularClients(regular *driver, duration time.Duration) Phase {
	regular.unsuccessful = 0
	completed, took := regular.saturate(regularOpsInFlight, duration)
	latency := regular.sendAtRate(regularOpRate, duration)
	return Phase{
		Throughput:   float64(completed) / took.Seconds(),
		P50:          float64(latency.ValueAtQuantile(50)),
		P99:          float64(latency.ValueAtQuantile(99)),
		Unsuccessful: regular.unsuccessful,
	}
}

// awaitRecovery saturates the gateway in steps of recoveryInterval until recoveredShare of the given throughput is
// reached, or recoveryTimeout has passed. It returns the elapsed time.
func awaitRecovery(regular *driver, throughput float64) time.Duration {
	began := time.Now()
	for time.Since(began) < recoveryTimeout {
		completed, took := regular.saturate(regularOpsInFlight, recoveryInterval)
		if float64(completed)/took.Seconds() >= recoveredShare*throughput {
			break
		}
	}
	return time.Since(began)
}

// abusiveClients are clients that connect again whenever their connection ends.
type abusiveClients struct {
	attempts atomic.Int64
	rejected atomic.Int64
	done     chan struct{}
	running  sync.WaitGroup
}

func startAbusiveClients(n int, address string) *abusiveClients {
	clients := &abusiveClients{done: make(chan struct{})}
	for i := range n {
		clients.running.Go(func() { clients.run(i, address) })
	}
	return clients
}

func (a *abusiveClients) stop() {
	close(a.done)
	a.running.Wait()
}

// run runs the i-th client until stop is called.
func (a *abusiveClients) run(i int, address string) {
	source := net.IPv4(127, 0, 1, byte(1+i%abusiveAddresses))
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: source}, Timeout: abusiveDialTimeout}
	for {
		a.attempts.Add(1)
		began := time.Now()
		if c, err := dialer.Dial("tcp", address); err == nil {
			abusiveBehaviours[i%len(abusiveBehaviours)](c, a.done)
			_ = c.Close() // the connection is not used any more
		}
		if time.Since(began) < maxRejectionTime {
			a.rejected.Add(1)
		}
		select {
		case <-a.done:
			return
		case <-time.After(reconnectInterval):
		}
	}
}

// usageSampler samples the number of a gateway's connections and the size of the heap. Its results may be read after
// stop has returned.
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
			counts, _ := g.Counts() // succeeds while the gateway runs
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			u.maxConnections = max(u.maxConnections, counts.Connections)
			u.maxHeap = max(u.maxHeap, float64(memory.HeapAlloc)/bytesPerMiB)
		}
	}()
	return u
}

func (u *usageSampler) stop() {
	close(u.done)
	<-u.ended
}

// String returns the report as text.
func (r *AbusiveReport) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d abusive connections besides regular load; measured with fakes on loopback, ", r.Connections)
	b.WriteString("the abusive clients run on the same machine\n\n")
	fmt.Fprintf(&b, "%-26s %12s %12s %8s\n", "", "without", "with", "ratio")
	row := func(name string, without, with float64) {
		fmt.Fprintf(&b, "%-26s %12.0f %12.0f %8.2f\n", name, without, with, with/without)
	}
	row("ops per second, saturated", r.WithoutAbusive.Throughput, r.WithAbusive.Throughput)
	row("p99 at 1,000 ops/s, us", r.WithoutAbusive.P99, r.WithAbusive.P99)
	fmt.Fprintf(&b, "%-26s %12d %12d\n\n", "not succeeded", r.WithoutAbusive.Unsuccessful, r.WithAbusive.Unsuccessful)
	fmt.Fprintf(&b, "%d attempts of abusive connections, %d ended within 50 ms; ", r.Attempts, r.Rejected)
	fmt.Fprintf(&b, "at most %d connections open; heap at most %.0f MiB\n", r.MaxConnections, r.Heap)
	fmt.Fprintf(&b, "95%% of the throughput recovered %.0f ms after the abusive clients stopped\n", r.Recovery)
	return b.String()
}

package bench

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"honeyplank/fake/resp"
	codec "honeyplank/resp"
)

// FleetCost is the resource usage of one scheduler process of the platform at one size of the fleet, under the same
// load at each size.
type FleetCost struct {
	Servers     int     `json:"servers"`
	CPU         float64 `json:"cpu_seconds"` // from the start of the process to the end of the load
	Memory      float64 `json:"peak_memory_mb"`
	Descriptors int     `json:"peak_descriptors"`
	Connections int     `json:"connections_made"` // to the disk servers
	Requests    int64   `json:"requests"`
	Served      int64   `json:"served"`
}

// servedShare returns the share of the requests that were served.
func (c FleetCost) servedShare() float64 { return float64(c.Served) / float64(max(c.Requests, 1)) }

// Load and environment of Fleet, the same at each size of the fleet.
const (
	fleetDisks            = 8                      // fake disk servers, whose addresses the listed servers share
	fleetClients          = 20                     // client connections
	requestInterval       = 100 * time.Millisecond // between two requests of a client connection
	listChangeInterval    = 200 * time.Millisecond // between two changes of the list, each of one server
	requestTimeoutMS      = 400                    // sent with each request
	replyTimeout          = 2 * time.Second        // for writing a request and reading its reply
	maxReplyBytes         = 64 << 10
	schedulerStartTimeout = 10 * time.Second // from the start of a scheduler until it is ready
	pingInterval          = 10 * time.Millisecond
	newObjectCell         = -1 // the cell in a request for a new object
)

// Strides between the cells of requests. They are primes, so that the requests spread over all cells.
const (
	clientCellStride  = 7919
	requestCellStride = 104729
)

var errNotReady = errors.New("bench: the scheduler did not answer PING before the start timeout")

// fleetSettings holds the settings of the deployment, in the format of the platform's configuration.
const fleetSettings = `{
"caps":{"cancel":true,"connect_timeout_ms":250,"keepalive_ms":30000,"max_attempts":3,"may_duplicate":true,
	"peer_messages":false,"probes":false,"retry_after":true,"max_retry_after_ms":1000,"streams_per_conn":4},
"classes":[{"name":"read","give_up_ms":400,"target_ms":200,"semantics":"pure","worth":2,"late_worth":0.2,
	"dedup_scope":"all","window_ms":5000}],
"family_info":{"changes_data":[false],"largest":6,"unit_mean":2,"young_limit":300,"within_share":0.3,"idle_worth":0.1},
"membership_mode":"automatic","models":["std"],"zones":["room"],"peers_total":1,
"plans":[{"name":"gold","rate":1000,"reserve":1000,"weight":1,"value_factor":1}],
"report":{"fields":[],"how":"none"},
"rules":{"grace_to_answer_ms":5,"stop_sending_within_ms":1000,"cold_from":0.5,"cold_ms":1000,"fall_ms":1000,
	"tip_multiple":4},
"step_ms":1}`

// Fleet runs the program command, with the argument platform, as one scheduler with fake disk servers and a fake
// discovery service, for length seconds at each size of the fleet. It measures the process through /proc and therefore
// needs Linux. Half of the requests read data of one of the servers' cells, half are for new objects.
func Fleet(ctx context.Context, command string, sizes []int, length float64) ([]FleetCost, error) {
	var costs []FleetCost
	for _, servers := range sizes {
		cost, err := measureFleetCost(ctx, command, servers, seconds(length))
		if err != nil {
			return nil, fmt.Errorf("%d servers: %w", servers, err)
		}
		costs = append(costs, cost)
	}
	return costs, nil
}

func measureFleetCost(ctx context.Context, command string, servers int, duration time.Duration) (FleetCost, error) {
	disks, err := startDisks()
	defer stopDisks(disks)
	if err != nil {
		return FleetCost{}, err
	}
	members := listMembers(disks, servers)
	discovery, err := resp.NewDiscovery(members...)
	if err != nil {
		return FleetCost{}, err
	}
	defer discovery.Stop()
	scheduler, err := startScheduler(ctx, command, discovery.Address(), members)
	if err != nil {
		return FleetCost{}, err
	}
	defer scheduler.kill()
	cost := FleetCost{Servers: servers}
	runFleetLoad(&cost, scheduler, discovery, members, duration)
	for _, disk := range disks {
		_, made := disk.Connections()
		cost.Connections += made
	}
	if cost.Memory, err = peakMemory(scheduler.pid()); err != nil {
		return FleetCost{}, err
	}
	cost.CPU, err = cpuSeconds(scheduler.pid())
	return cost, err
}

// runFleetLoad sends requests from all clients and changes the list for the given duration, and records the requests
// and the peak of open descriptors in cost.
func runFleetLoad(cost *FleetCost, scheduler *schedulerProcess, discovery *resp.Discovery, members []resp.Member,
	duration time.Duration) {
	var requests, served atomic.Int64
	end := time.Now().Add(duration)
	var running sync.WaitGroup
	for n := range fleetClients {
		client := fleetClient{
			address:  scheduler.address,
			number:   n,
			servers:  cost.Servers,
			requests: &requests,
			served:   &served,
		}
		running.Go(func() { client.run(end) })
	}
	running.Go(func() { changeList(discovery, members, end) })
	for time.Now().Before(end) {
		time.Sleep(requestInterval)
		cost.Descriptors = max(cost.Descriptors, openDescriptors(scheduler.pid()))
	}
	running.Wait()
	cost.Requests, cost.Served = requests.Load(), served.Load()
}

// startDisks starts the fake disk servers. If one fails to start, it returns those already started with the error.
func startDisks() ([]*resp.Disk, error) {
	var disks []*resp.Disk
	for range fleetDisks {
		disk, err := resp.NewDisk(anyPort)
		if err != nil {
			return disks, err
		}
		disks = append(disks, disk)
	}
	return disks, nil
}

func stopDisks(disks []*resp.Disk) {
	for _, disk := range disks {
		disk.Stop()
	}
}

// listMembers returns a list of n members, whose addresses are those of the disk servers in turn.
func listMembers(disks []*resp.Disk, n int) []resp.Member {
	var members []resp.Member
	for i := range n {
		members = append(members, resp.Member{
			ID:      fmt.Sprintf("s-%05d", i),
			Address: disks[i%len(disks)].Address(),
			Zone:    "room",
			Model:   "std",
			Cell:    i,
			Phase:   "up",
			Size:    1,
		})
	}
	return members
}

// schedulerProcess is a scheduler that runs as a separate process.
type schedulerProcess struct {
	command *exec.Cmd
	address string
}

func (p *schedulerProcess) pid() int { return p.command.Process.Pid }

// kill kills the process and waits for its end. It ignores errors, since the process is no longer measured.
func (p *schedulerProcess) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// startScheduler starts a scheduler and waits until it answers PING.
func startScheduler(ctx context.Context, program, discovery string, known []resp.Member) (*schedulerProcess, error) {
	directory, err := os.MkdirTemp("", "honeyplank-fleet-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }() // a file that cannot be removed stays in the temporary directory
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	file := filepath.Join(directory, "config.json")
	if err := writeFleetConfig(file, address, discovery, known); err != nil {
		return nil, err
	}
	process := &schedulerProcess{
		command: exec.CommandContext(ctx, program, "--log-level", "error", "platform", file),
		address: address,
	}
	if err := process.command.Start(); err != nil {
		return nil, err
	}
	for end := time.Now().Add(schedulerStartTimeout); time.Now().Before(end); time.Sleep(pingInterval) {
		if answersPing(address, end) {
			return process, nil
		}
	}
	process.kill()
	return nil, errNotReady
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func writeFleetConfig(file, address, discovery string, known []resp.Member) error {
	text, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    address,
		"discovery": discovery,
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings":  json.RawMessage(fleetSettings),
		"known":     map[string]any{"revision": 1, "complete": true, "members": known},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(file, text, 0o600)
}

// answersPing reports whether a scheduler answers PING at an address.
func answersPing(address string, deadline time.Time) bool {
	reply, err := exchange(address, deadline, codec.AppendCommand(nil, []byte("PING")))
	return err == nil && strings.HasPrefix(reply, "+PONG")
}

// exchange sends a command on a new connection and returns the first bytes of the reply.
func exchange(address string, deadline time.Time, command []byte) (string, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }() // the connection is not used any more
	if err := c.SetDeadline(deadline); err != nil {
		return "", err
	}
	if _, err := c.Write(command); err != nil {
		return "", err
	}
	reply := make([]byte, maxReplyBytes)
	n, err := c.Read(reply)
	return string(reply[:n]), err
}

// fleetClient is a client with one connection, on which it sends one request at a time.
type fleetClient struct {
	address  string
	number   int
	servers  int
	requests *atomic.Int64
	served   *atomic.Int64
}

// run sends requests until end, or until the connection fails.
func (f *fleetClient) run(end time.Time) {
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // the connection is not used any more
	reply := make([]byte, maxReplyBytes)
	for i := 0; time.Now().Before(end); i++ {
		if err := c.SetDeadline(time.Now().Add(replyTimeout)); err != nil {
			return
		}
		if _, err := c.Write(f.command(i)); err != nil {
			return
		}
		f.requests.Add(1)
		n, err := c.Read(reply)
		if err != nil {
			return
		}
		if n > 0 && reply[0] != '-' {
			f.served.Add(1)
		}
		time.Sleep(requestInterval)
	}
}

// command returns the i-th request of the client.
func (f *fleetClient) command(i int) []byte {
	cell := newObjectCell
	if i%2 == 0 {
		cell = (f.number*clientCellStride + i*requestCellStride) % f.servers
	}
	key := fmt.Appendf(nil, "%016x", f.number<<20+i)
	id := fmt.Appendf(nil, "%d-%d", f.number, i)
	options := fmt.Appendf(nil, "c=read,t=gold,d=%d,volume=%016x,units=2,shard=%d,hosts=1",
		requestTimeoutMS, f.number, cell)
	return codec.AppendCommand(nil, []byte("BLK.READ"), key, id, options)
}

// changeList lists one server after another as draining and then as up again, until end.
func changeList(discovery *resp.Discovery, members []resp.Member, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		member := members[i/2%len(members)]
		if i%2 == 0 {
			member.Phase = "draining"
		}
		discovery.Change(member)
		time.Sleep(listChangeInterval)
	}
}

// FleetTable returns the costs as a table, with ratios to the costs at the first size.
func FleetTable(costs []FleetCost) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%8s %8s %8s %12s %12s %8s %8s   ratios: CPU, memory, descriptors, connections, share served\n",
		"servers", "CPU s", "MB", "descriptors", "connections", "requests", "served")
	for _, c := range costs {
		first := costs[0]
		fmt.Fprintf(&b, "%8d %8.2f %8.1f %12d %12d %8d %8d   %.2f %.2f %.2f %.2f %.2f\n",
			c.Servers, c.CPU, c.Memory, c.Descriptors, c.Connections, c.Requests, c.Served,
			c.CPU/first.CPU, c.Memory/first.Memory, float64(c.Descriptors)/float64(first.Descriptors),
			float64(c.Connections)/float64(first.Connections), c.servedShare()/first.servedShare())
	}
	return b.String()
}

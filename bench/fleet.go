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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"honeyplank/fake/resp"
	codec "honeyplank/resp"
)

// FleetCost is what one scheduler process of the platform needs at one size of the fleet, under the same load.
type FleetCost struct {
	Servers     int     `json:"servers"`
	CPU         float64 `json:"cpu_seconds"` // from the start to the end of the load
	Memory      float64 `json:"peak_memory_mb"`
	Descriptors int     `json:"peak_descriptors"`
	Connections int     `json:"connections_made"`
	Asked       int64   `json:"asked"`
	Served      int64   `json:"served"`
}

// Load and shape of Fleet: the same at each size.
const (
	fleetDisks      = 8                      // fake disk servers that stand behind all listed ones
	fleetClients    = 20                     // client connections
	fleetInterval   = 100 * time.Millisecond // between two requests of a client connection
	fleetDeltas     = 200 * time.Millisecond // between two deltas of the list, of one server each
	fleetStart      = 10 * time.Second       // for a scheduler to be ready
	fleetDeadlineMS = 400
)

// fleetSettings are in the words of the platform's configuration.
const fleetSettings = `{"caps":{"cancel":true,"connect_timeout_ms":250,"keepalive_ms":30000,"max_attempts":3,"may_duplicate":true,
"peer_messages":false,"probes":false,"retry_after":true,"max_retry_after_ms":1000,"streams_per_conn":4},
"classes":[{"name":"read","give_up_ms":400,"target_ms":200,"semantics":"pure","worth":2,"late_worth":0.2,"dedup_scope":"all","window_ms":5000}],
"family_info":{"changes_data":[false],"largest":6,"unit_mean":2,"young_limit":300,"within_share":0.3,"idle_worth":0.1},
"membership_mode":"automatic","models":["std"],"zones":["room"],"peers_total":1,
"plans":[{"name":"gold","rate":1000,"reserve":1000,"weight":1,"value_factor":1}],"report":{"fields":[],"how":"none"},
"rules":{"grace_to_answer_ms":5,"stop_sending_within_ms":1000,"cold_from":0.5,"cold_ms":1000,"fall_ms":1000,"tip_multiple":4},"step_ms":1}`

// Fleet runs the program itself (command, with the argument platform) as one scheduler among fakes, at each size of the
// fleet for some seconds, and measures the process from outside. Half of the requests are for data at any server, half for
// new objects. It needs Linux's /proc.
func Fleet(ctx context.Context, command string, sizes []int, seconds float64) (out []FleetCost, err error) {
	for _, n := range sizes {
		cost, err := fleetCost(ctx, command, n, time.Duration(seconds*float64(time.Second)))
		if err != nil {
			return nil, fmt.Errorf("%d servers: %w", n, err)
		}
		out = append(out, *cost)
	}
	return out, nil
}

func fleetCost(ctx context.Context, command string, servers int, length time.Duration) (*FleetCost, error) {
	disks, members, err := fleetServers(servers)
	if err != nil {
		return nil, err
	}
	for _, d := range disks {
		defer d.Stop()
	}
	list, err := resp.NewDiscovery(members...)
	if err != nil {
		return nil, err
	}
	defer list.Stop()
	process, address, err := startScheduler(ctx, command, list.Address(), members)
	if err != nil {
		return nil, err
	}
	defer func() {
		process.Process.Kill()
		process.Wait()
	}()

	cost := &FleetCost{Servers: servers}
	var asked, served atomic.Int64
	end := time.Now().Add(length)
	var group sync.WaitGroup
	for client := range fleetClients {
		group.Go(func() { fleetClient(address, client, servers, end, &asked, &served) })
	}
	group.Go(func() { fleetNews(list, members, end) })
	for time.Now().Before(end) {
		time.Sleep(fleetInterval)
		cost.Descriptors = max(cost.Descriptors, descriptors(process.Process.Pid))
	}
	group.Wait()
	cost.Asked, cost.Served = asked.Load(), served.Load()
	for _, d := range disks {
		_, ever := d.Connections()
		cost.Connections += ever
	}
	cost.Memory, err = peakMemory(process.Process.Pid)
	if err != nil {
		return nil, err
	}
	cost.CPU, err = processorTime(process.Process.Pid)
	return cost, err
}

// fleetServers starts the fake disk servers and lists them under many ids.
func fleetServers(n int) (disks []*resp.Disk, members []resp.Member, err error) {
	for range fleetDisks {
		d, err := resp.NewDisk("127.0.0.1:0")
		if err != nil {
			return disks, nil, err
		}
		disks = append(disks, d)
	}
	for i := range n {
		members = append(members, resp.Member{ID: fmt.Sprintf("s-%05d", i), Address: disks[i%fleetDisks].Address(), Zone: "room", Model: "std",
			Cell: i, Phase: "up", Size: 1})
	}
	return disks, members, nil
}

// startScheduler starts the process and waits until it answers PING.
func startScheduler(ctx context.Context, command, discovery string, known []resp.Member) (*exec.Cmd, string, error) {
	folder, err := os.MkdirTemp("", "honeyplank-fleet-")
	if err != nil {
		return nil, "", err
	}
	defer os.RemoveAll(folder)
	l, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free
	if err != nil {
		return nil, "", err
	}
	address := l.Addr().String()
	l.Close()
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": address, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(fleetSettings),
		"known": map[string]any{"revision": 1, "complete": true, "members": known}})
	if err != nil {
		return nil, "", err
	}
	file := filepath.Join(folder, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, "", err
	}
	process := exec.CommandContext(ctx, command, "--log-level", "error", "platform", file)
	if err := process.Start(); err != nil {
		return nil, "", err
	}
	for end := time.Now().Add(fleetStart); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", address); err == nil {
			c.SetDeadline(end)
			c.Write(codec.AppendCommand(nil, []byte("PING")))
			answer := make([]byte, len("+PONG\r\n"))
			n, _ := c.Read(answer)
			c.Close()
			if strings.HasPrefix(string(answer[:n]), "+PONG") {
				return process, address, nil
			}
		}
	}
	process.Process.Kill()
	process.Wait()
	return nil, "", errors.New("the scheduler is not ready in time")
}

// fleetClient asks on one connection, one request at a time, until the end.
func fleetClient(address string, client, servers int, end time.Time, asked, served *atomic.Int64) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer c.Close()
	answer := make([]byte, 64<<10)
	for i := 0; time.Now().Before(end); i++ {
		shard := -1
		if i%2 == 0 {
			shard = (client*7919 + i*104729) % servers
		}
		options := fmt.Sprintf("c=read,t=gold,d=%d,volume=%016x,units=2,shard=%d,hosts=1", fleetDeadlineMS, client, shard)
		c.SetDeadline(time.Now().Add(2 * time.Second))
		c.Write(codec.AppendCommand(nil, []byte("BLK.READ"), fmt.Appendf(nil, "%016x", client<<20+i), fmt.Appendf(nil, "%d-%d", client, i), []byte(options)))
		asked.Add(1)
		n, err := c.Read(answer)
		if err != nil {
			return
		}
		if n > 0 && answer[0] != '-' {
			served.Add(1)
		}
		time.Sleep(fleetInterval)
	}
}

// fleetNews has the list change, by one server at a time, until the end.
func fleetNews(list *resp.Discovery, members []resp.Member, end time.Time) {
	for i := 0; time.Now().Before(end); i++ {
		m := members[i/2%len(members)]
		if i%2 == 0 {
			m.Phase = "draining"
		}
		list.Change(m)
		time.Sleep(fleetDeltas)
	}
}

// descriptors is how many files a process has open now.
func descriptors(pid int) int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(files)
}

// peakMemory is the most that a process had resident, in MB.
func peakMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 {
		return 0, errors.New("/proc tells no peak of memory")
	}
	kb, err := strconv.ParseFloat(fields[0], 64)
	return kb / 1024, err
}

// processorTime is the processor time that a process has used, in seconds.
func processorTime(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name before may hold spaces
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errors.New("/proc tells no processor time")
	}
	user, err := strconv.ParseFloat(fields[11], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[12], 64)
	const ticks = 100 // a second, see proc(5) and sysconf(_SC_CLK_TCK)
	return (user + system) / ticks, err
}

// FleetTable is the costs as a table, with ratios to the first size.
func FleetTable(costs []FleetCost) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%8s %8s %8s %12s %12s %8s %8s   ratios: CPU, memory, descriptors, connections, share served\n",
		"servers", "CPU s", "MB", "descriptors", "connections", "asked", "served")
	for _, c := range costs {
		first := costs[0]
		share := func(x FleetCost) float64 { return float64(x.Served) / float64(max(x.Asked, 1)) }
		fmt.Fprintf(&b, "%8d %8.2f %8.1f %12d %12d %8d %8d   %.2f %.2f %.2f %.2f %.2f\n", c.Servers, c.CPU, c.Memory, c.Descriptors, c.Connections, c.Asked,
			c.Served, c.CPU/first.CPU, c.Memory/first.Memory, float64(c.Descriptors)/float64(first.Descriptors),
			float64(c.Connections)/float64(first.Connections), share(c)/share(first))
	}
	return b.String()
}

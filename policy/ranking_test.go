package policy

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"runtime"
	"slices"
	"sort"
	"testing"
	"time"

	"honeyplank"
)

// modelHash returns the hash of a volume and a server, computed with the standard library.
func modelHash(volume int64, id honeyplank.ServerID) uint64 {
	hasher := fnv.New64a()
	_, _ = fmt.Fprintf(hasher, "%d%s", volume, id) // writing to a hash never fails
	hash := hasher.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}

// modelRanking returns the ranking of the slow model: all servers that are up, sorted.
func modelRanking(engine *Engine, volume int64) (list []*server) {
	for _, server := range engine.serversByID {
		if server.State == honeyplank.Up {
			list = append(list, server)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return modelHash(volume, list[i].ID) > modelHash(volume, list[j].ID) })
	return list
}

// modelChoice returns the choice from a whole ranking: the first server with capacity, or else the
// one with the least relative load.
func modelChoice(engine *Engine, op *op, list []*server) (chosen *server, hasCapacity bool) {
	leastLoad := math.Inf(1)
	for _, server := range list {
		if !engine.acceptsNewObjects(server) || !engine.mayDispatch(op, server) {
			continue
		}
		limit := engine.concurrencyLimit(server, op.Type, spareLatencyShare)
		load := float64(1+server.outstanding+server.queuedCount) / limit
		if load < leastLoad {
			chosen, leastLoad = server, load
		}
		if load < 1 {
			return chosen, true
		}
	}
	return chosen, false
}

// rankingFleet is one instance and a fleet whose servers are added, removed, restarted, marked as
// down and filled at random.
type rankingFleet struct {
	t       *testing.T
	seed    int64
	step    int
	rng     *rand.Rand
	engine  *Engine
	now     time.Duration
	added   int // number of servers added so far
	members []honeyplank.Member
}

func newRankingFleet(t *testing.T, seed int64) *rankingFleet {
	t.Helper()
	rng := rand.New(rand.NewSource(seed))
	settings := testSettings()
	settings.SlowStart = honeyplank.SlowStartSettings{From: 0.2, Units: 20, Time: time.Minute, Window: time.Second}
	settings.Plans[0].Limit, settings.Plans[0].Burst = float64(rng.Intn(2))*50, 100
	fleet := &rankingFleet{t: t, seed: seed, rng: rng, engine: New(seed, settings), now: time.Minute}
	for range []int{1, 5, 40, maxTopServers, maxTopServers + 1, 200, 700}[seed%7] {
		fleet.members = append(fleet.members, fleet.newMember())
	}
	fleet.sendList(honeyplank.Complete, fleet.members...)
	return fleet
}

func (fleet *rankingFleet) newMember() honeyplank.Member {
	fleet.added++
	return member(fleet.added, 0)
}

func (fleet *rankingFleet) sendList(kind honeyplank.ListKind, members ...honeyplank.Member) {
	fleet.engine.Handle(fleet.now, honeyplank.List{Kind: kind, Members: members})
}

// change makes a random change of the fleet, or none.
func (fleet *rankingFleet) change() {
	rng, members := fleet.rng, fleet.members
	fleet.now += time.Duration(rng.Intn(30)) * ms
	i := rng.Intn(len(members))
	switch rng.Intn(8) {
	case 0: // one server leaves, another joins
		gone := members[i]
		gone.State = honeyplank.MemberState(1 + rng.Intn(2))
		members[i] = fleet.newMember()
		fleet.sendList(honeyplank.Delta, gone, members[i])
	case 1:
		members[i].Started = fleet.now
		fleet.sendList(honeyplank.Delta, members[i])
	case 2: // a complete list in which some servers are replaced
		for range rng.Intn(len(members)/2 + 1) {
			members[rng.Intn(len(members))] = fleet.newMember()
		}
		fleet.sendList(honeyplank.Complete, members...)
	case 3: // one server leaves and comes back
		gone := members[i]
		gone.State = honeyplank.Draining
		fleet.sendList(honeyplank.Delta, gone)
		if rng.Intn(2) == 0 {
			fleet.engine.topRanked(&volume{}, 1)
		}
		fleet.sendList(honeyplank.Delta, members[i])
	case 4:
		for _, server := range fleet.engine.serversByID {
			server.outstanding = rng.Intn(2) * rng.Intn(40)
		}
	case 5:
		fleet.takeDown(rng.Float64())
	}
}

// takeDown marks a share of the servers as down and the others as up.
func (fleet *rankingFleet) takeDown(share float64) {
	for _, server := range fleet.engine.serversByID {
		if server.health = honeyplank.HealthUp; fleet.rng.Float64() < share {
			server.health = honeyplank.HealthDown
		}
	}
}

// choose lets the engine choose a server for a new object, and compares the choice with the model.
// It reports whether the server is not among the top ones of the ranking.
func (fleet *rankingFleet) choose() bool {
	fleet.t.Helper()
	engine := fleet.engine
	engine.now = fleet.now
	engine.acceptingAt = 0 // rebuild the cache of accepting servers, which may be one sweep interval old
	id := int64(fleet.rng.Intn(4))
	candidate := &op{
		Op: honeyplank.Op{
			Units: 1, Deadline: fleet.now + time.Second, Volume: id, Instances: 1, Cell: honeyplank.AnyCell,
		},
		admissionDraw: fleet.rng.Float64(),
		target:        fleet.now + 200*ms,
	}
	engine.registerOp(candidate)
	list := modelRanking(engine, id)
	want, hasCapacity := modelChoice(engine, candidate, list)
	got := engine.chooseNewServer(candidate)
	engine.removeQueued(candidate)
	engine.unassigned = 0
	top := engine.topRanked(candidate.volume, id)
	fleet.compareRanking(top, list)
	inTop := slices.Index(list, want) < len(top)
	if want != got && (inTop && hasCapacity || len(list) <= minTopServers) {
		fleet.t.Fatalf("seed %d, step %d: chose %v, want %v", fleet.seed, fleet.step, got, want)
	}
	if first, _ := modelChoice(engine, candidate, list[:len(top)]); first != nil {
		want = first
	}
	if want != got {
		fleet.t.Fatalf("seed %d, step %d: chose %v, want %v of the top servers", fleet.seed, fleet.step, got, want)
	}
	return got != nil && slices.Index(list, got) >= len(top)
}

// compareRanking compares the top servers of a ranking with the model's list of all servers.
func (fleet *rankingFleet) compareRanking(top []rankedServer, list []*server) {
	fleet.t.Helper()
	for k, ranked := range top {
		if ranked.server != list[k] {
			fleet.t.Fatalf("seed %d, step %d: rank %d of the ranking is %s, want %s",
				fleet.seed, fleet.step, k, ranked.server.ID, list[k].ID)
		}
	}
	if len(top) < min(len(list), minTopServers) {
		fleet.t.Fatalf("seed %d, step %d: %d of %d servers ranked", fleet.seed, fleet.step, len(top), len(list))
	}
}

// TestChoiceMatchesFullRanking checks that in random fleets, a new object goes to the server that
// the whole ranking gives. The choice may differ only past the top servers: if none of the top
// servers has capacity, the least loaded of them is chosen, although servers further down may have
// capacity.
func TestChoiceMatchesFullRanking(t *testing.T) {
	beyond, compared := 0, 0
	for seed := range int64(60) {
		fleet := newRankingFleet(t, seed)
		for fleet.step = range 150 {
			fleet.change()
			if fleet.choose() {
				beyond++
			}
			compared++
		}
	}
	if beyond == 0 {
		t.Error("no choice past the top servers was compared")
	}
	t.Logf("%d choices compared, %d past the top servers", compared, beyond)
}

// largeFleet returns one instance with the given number of servers and a reserve that covers all
// new objects.
func largeFleet(servers int) *Engine {
	settings := testSettings()
	settings.Plans[0].Reserve = 1e6
	engine := New(1, settings)
	engine.Handle(time.Second, honeyplank.List{Kind: honeyplank.Complete, Members: membersUpTo(servers)})
	return engine
}

// replacement is how servers are replaced while new objects are written.
type replacement string

const (
	noneReplaced replacement = "no server replaced"
	oneByOne     replacement = "servers replaced one by one"
)

// simulateNewObjects simulates n new objects of 200 volumes, each answered after 4 ms, with a sweep
// every 10 ms and servers that may be replaced meanwhile. from is the number of objects simulated
// before.
func simulateNewObjects(engine *Engine, from, n int, replaced replacement) {
	servers := len(engine.serversByID)
	for i := from; i < from+n; i++ {
		now := time.Second + time.Duration(i)*5*ms
		simulateNewObject(engine, now, i)
		if i%2 == 0 {
			engine.Handle(now+4*ms, honeyplank.Timer{ID: sweepTimer})
		}
		if replaced == oneByOne && i%50 == 0 {
			replace := []honeyplank.Member{memberInState(i/50, honeyplank.Removed), member(servers+i, 0)}
			engine.Handle(now+4*ms, honeyplank.List{Kind: honeyplank.Delta, Members: replace})
		}
	}
}

// simulateNewObject simulates the i-th new object, which is answered after 4 ms.
func simulateNewObject(engine *Engine, now time.Duration, i int) {
	id := honeyplank.OpID(fmt.Sprint(i))
	actions := engine.Handle(now, honeyplank.Op{
		ID: id, Units: 1, Deadline: now + time.Second, Volume: int64(i % 200), Instances: 1, Cell: honeyplank.AnyCell,
	})
	for _, action := range actions {
		if dispatch, ok := action.(honeyplank.Dispatch); ok {
			engine.Handle(now+4*ms, honeyplank.Outcome{
				Op: id, Server: dispatch.Server, Code: honeyplank.Succeeded, Answered: true, Elapsed: 4 * ms,
			})
		}
	}
}

// objectCost is the cost of new objects in a fleet.
type objectCost struct {
	visited     float64 // servers visited per object
	allocations float64 // allocations per object
	kept        int     // servers in the rankings of all volumes
}

// costOfObjects returns the cost of new objects once all rankings have been built.
func costOfObjects(servers int, replaced replacement) objectCost {
	const objects = 4000
	engine := largeFleet(servers)
	simulateNewObjects(engine, 0, 200, noneReplaced) // builds the ranking of each volume
	engine.serversVisited = 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	simulateNewObjects(engine, 200, objects, replaced)
	runtime.ReadMemStats(&after)
	cost := objectCost{
		visited:     float64(engine.serversVisited) / objects,
		allocations: float64(after.Mallocs-before.Mallocs) / objects,
	}
	for _, record := range engine.volumes {
		cost.kept += cap(record.topServers)
	}
	return cost
}

// TestWorkDoesNotGrowWithTheFleet checks that once all rankings have been built, new objects,
// answers and sweeps visit at most 1.4 times as many servers with 3,200 servers as with 200, also
// while servers are replaced. The same bound holds for the allocations and for the servers that the
// volumes keep.
func TestWorkDoesNotGrowWithTheFleet(t *testing.T) {
	for _, replaced := range []replacement{noneReplaced, oneByOne} {
		t.Run(string(replaced), func(t *testing.T) {
			small, large := costOfObjects(200, replaced), costOfObjects(3200, replaced)
			t.Logf("%+v with 200 servers, %+v with 3,200", small, large)
			if large.visited > 1.4*small.visited {
				t.Errorf("%v servers visited per object, %v with 200 servers", large.visited, small.visited)
			}
			if large.allocations > 1.4*small.allocations {
				t.Errorf("%v allocations per object, %v with 200 servers", large.allocations, small.allocations)
			}
			if large.kept > small.kept*14/10 {
				t.Errorf("%v servers kept in rankings, %v with 200 servers", large.kept, small.kept)
			}
		})
	}
}

// BenchmarkFleet measures the cost of a new object, its answer and half a sweep, by the number of
// servers.
func BenchmarkFleet(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			engine := largeFleet(servers)
			n := 0
			for b.Loop() {
				simulateNewObjects(engine, n, 100, noneReplaced)
				n += 100
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/object")
			b.ReportMetric(0, "ns/op")
		})
	}
}

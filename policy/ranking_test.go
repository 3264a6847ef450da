package policy

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"testing"
	"time"

	"honeyplank"
)

// modelRank is the hash of a volume and a server, as the library computes it.
func modelRank(volume int64, id honeyplank.ServerID) uint64 {
	hasher := fnv.New64a()
	hasher.Write(strconv.AppendInt(nil, volume, 10))
	hasher.Write([]byte(id))
	hash := hasher.Sum64()
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	return hash ^ hash>>33
}

// modelRanking is the slow model: all servers that are on, sorted.
func modelRanking(engine *Engine, volume int64) (list []*server) {
	for _, server := range engine.serversByID {
		if server.State == honeyplank.Up {
			list = append(list, server)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return modelRank(volume, list[i].ID) > modelRank(volume, list[j].ID) })
	return list
}

// modelChoice is the choice as made over a whole ranking: the first with capacity, or else the one with the least relative load.
func modelChoice(engine *Engine, op *op, list []*server) (home *server, hasCapacity bool) {
	leastLoad := math.Inf(1)
	for _, server := range list {
		if !engine.acceptsNewObjects(server) || !engine.mayDispatch(op, server) {
			continue
		}
		load := float64(1+server.outstanding+server.queuedCount) / engine.concurrencyLimit(server, op.Type, spareLatencyShare)
		if load < leastLoad {
			home, leastLoad = server, load
		}
		if load < 1 {
			return home, true
		}
	}
	return home, false
}

// TestChoiceAsOverFullRanking: over random fleets that grow, shrink, restart, go down and fill up, a new object
// goes where the whole ranking sends it. Only past the top servers may it differ: where none of these has capacity
// the least loaded of it is taken, though others further down may have capacity.
func TestChoiceAsOverFullRanking(t *testing.T) {
	beyond, compared := 0, 0
	for seed := range int64(60) {
		rng := rand.New(rand.NewSource(seed))
		settings := testSettings()
		settings.SlowStart.From, settings.SlowStart.Units, settings.SlowStart.Time, settings.SlowStart.Window = 0.2, 20.0, time.Minute, time.Second
		settings.Plans.Limit, settings.Plans.Burst = []float64{float64(rng.Intn(2)) * 50}, []float64{100}
		engine := New(seed, settings)
		size := []int{1, 5, 40, maxTopServers, maxTopServers + 1, 200, 700}[seed%7]
		now, next := time.Minute, 0
		sendList := func(kind honeyplank.ListKind, members ...honeyplank.Member) {
			engine.Handle(now, honeyplank.List{Kind: kind, Members: members})
		}
		fresh := func() honeyplank.Member {
			next++
			return member(next, 0)
		}
		var all []honeyplank.Member
		for range size {
			all = append(all, fresh())
		}
		sendList(honeyplank.Complete, all...)
		for step := range 150 {
			now += time.Duration(rng.Intn(30)) * ms
			i := rng.Intn(len(all))
			switch rng.Intn(8) {
			case 0: // one leaves, another comes
				gone := all[i]
				gone.State = honeyplank.MemberState(1 + rng.Intn(2))
				all[i] = fresh()
				sendList(honeyplank.Delta, gone, all[i])
			case 1:
				all[i].Started = now
				sendList(honeyplank.Delta, all[i])
			case 2: // the whole list again, part of it replaced
				for range rng.Intn(size/2 + 1) {
					all[rng.Intn(len(all))] = fresh()
				}
				sendList(honeyplank.Complete, all...)
			case 3: // leaves and comes back
				gone := all[i]
				gone.State = honeyplank.Draining
				sendList(honeyplank.Delta, gone)
				if rng.Intn(2) == 0 {
					engine.topRanked(&volume{}, 1)
				}
				sendList(honeyplank.Delta, all[i])
			case 4:
				for _, server := range engine.serversByID {
					server.outstanding = rng.Intn(2) * rng.Intn(40)
				}
			case 5:
				part := rng.Float64()
				for _, server := range engine.serversByID {
					if server.health = honeyplank.HealthUp; rng.Float64() < part {
						server.health = honeyplank.HealthDown
					}
				}
			}
			engine.now = now
			engine.acceptingAt = 0 // the list of servers that accept new objects may be a sweep old: made anew here
			id := int64(rng.Intn(4))
			candidate := &op{Op: honeyplank.Op{Units: 1, Timeout: now + time.Second, Volume: id, Instances: 1, Cell: honeyplank.NewObject},
				admissionDraw: rng.Float64(), target: now + 200*ms}
			engine.openVolume(candidate)
			list := modelRanking(engine, id)
			want, hasCapacity := modelChoice(engine, candidate, list)
			got := engine.chooseNewServer(candidate)
			engine.removeQueued(candidate)
			engine.unassigned = 0
			top := engine.topRanked(candidate.volume, id)
			for k, ranked := range top {
				if ranked.server != list[k] {
					t.Fatalf("seed %d, step %d: rank %d of the ranking is %s, want %s", seed, step, k, ranked.server.ID, list[k].ID)
				}
			}
			if len(top) < min(len(list), minTopServers) {
				t.Fatalf("seed %d, step %d: %d of %d servers ranked", seed, step, len(top), len(list))
			}
			compared++
			if inList := slices.Index(list, want) < len(top); want != got && (inList && hasCapacity || len(list) <= minTopServers) {
				t.Fatalf("seed %d, step %d: %v, want %v", seed, step, got, want)
			}
			if first, _ := modelChoice(engine, candidate, list[:len(top)]); first != nil {
				want = first
			}
			if want != got {
				t.Fatalf("seed %d, step %d: %v, want %v past the top servers", seed, step, got, want)
			}
			if got != nil && slices.Index(list, got) >= len(top) {
				beyond++
			}
		}
	}
	if beyond == 0 {
		t.Error("no choice past the top servers was compared")
	}
	t.Logf("%d choices compared, %d past the top servers", compared, beyond)
}

// largeFleet is one process with so many servers, of whose volumes new objects come.
func largeFleet(servers int) *Engine {
	settings := testSettings()
	settings.Plans.Reserve = []float64{1e6}
	engine := New(1, settings)
	var members []honeyplank.Member
	for i := range servers {
		members = append(members, member(i, 0))
	}
	engine.Handle(time.Second, honeyplank.List{Kind: honeyplank.Complete, Members: members})
	return engine
}

// playNewObjects plays so many new objects of 200 volumes, each answered after 5 ms, with a sweep every 10 ms, and servers
// that are replaced one after another.
func playNewObjects(engine *Engine, from, n int, replace bool) {
	servers := len(engine.serversByID)
	for i := from; i < from+n; i++ {
		now := time.Second + time.Duration(i)*5*ms
		id := honeyplank.OpID(fmt.Sprint(i))
		out := engine.Handle(now, honeyplank.Op{ID: id, Units: 1, Timeout: now + time.Second, Volume: int64(i % 200), Instances: 1, Cell: honeyplank.NewObject})
		for _, action := range out {
			if dispatch, ok := action.(honeyplank.Dispatch); ok {
				engine.Handle(now+4*ms, honeyplank.Outcome{Op: id, Server: dispatch.Server, Code: honeyplank.Succeeded, Answered: true, Elapsed: 4 * ms})
			}
		}
		if i%2 == 0 {
			engine.Handle(now+4*ms, honeyplank.Timer{ID: sweepTimer})
		}
		if replace && i%50 == 0 {
			gone, fresh := member(i/50, 0), member(servers+i, 0)
			gone.State = honeyplank.Removed
			engine.Handle(now+4*ms, honeyplank.List{Kind: honeyplank.Delta, Members: []honeyplank.Member{gone, fresh}})
		}
	}
}

// TestWorkDoesNotGrowWithTheFleet: once the rankings are made, new objects, answers and sweeps look at no more than 1.4
// times the servers with 3,200 than with 200, also while servers are replaced, and the volumes hold no more of them.
func TestWorkDoesNotGrowWithTheFleet(t *testing.T) {
	for _, replace := range []bool{false, true} {
		t.Run(fmt.Sprint("replaced ", replace), func(t *testing.T) {
			work, held, allocations := map[int]float64{}, map[int]int{}, map[int]float64{}
			for _, servers := range []int{200, 3200} {
				engine := largeFleet(servers)
				playNewObjects(engine, 0, 200, false) // each volume has its list
				engine.serversVisited = 0
				const objects = 4000
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				playNewObjects(engine, 200, objects, replace)
				runtime.ReadMemStats(&after)
				work[servers], allocations[servers] = float64(engine.serversVisited)/objects, float64(after.Mallocs-before.Mallocs)/objects
				for _, record := range engine.volumes {
					held[servers] += cap(record.topServers)
				}
			}
			t.Logf("replaced: %v: visited %v, allocations %v an object; servers kept %v", replace, work, allocations, held)
			if work[3200] > 1.4*work[200] || allocations[3200] > 1.4*allocations[200] || held[3200] > held[200]*14/10 {
				t.Errorf("replaced: %v: visited %v, allocations %v an object; servers kept %v", replace, work, allocations, held)
			}
		})
	}
}

// BenchmarkFleet is the cost of a new object, its answer and half a sweep, by the number of servers.
func BenchmarkFleet(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			engine := largeFleet(servers)
			n := 0
			for b.Loop() {
				playNewObjects(engine, n, 100, false)
				n += 100
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/object")
			b.ReportMetric(0, "ns/op")
		})
	}
}

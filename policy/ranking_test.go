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

// modelRank is the hash of a volume and a disk server, as the library computes it.
func modelRank(volume int64, id honeyplank.ServerID) uint64 {
	h := fnv.New64a()
	h.Write(strconv.AppendInt(nil, volume, 10))
	h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// modelRanking is the slow model: all disk servers that are on, sorted.
func modelRanking(s *Scheduler, volume int64) (list []*server) {
	for _, o := range s.serversByID {
		if o.State == honeyplank.Up {
			list = append(list, o)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return modelRank(volume, list[i].ID) > modelRank(volume, list[j].ID) })
	return list
}

// modelChoice is the choice as made over a whole ranking: the first with room, or else the one with least against its room.
func modelChoice(s *Scheduler, p *op, list []*server) (home *server, room bool) {
	least := math.Inf(1)
	for _, o := range list {
		if !s.acceptsNewObjects(o) || !s.mayDispatch(p, o) {
			continue
		}
		load := float64(1+o.outstanding+o.heldCount) / s.concurrencyLimit(o, p.Type, spareLatencyShare)
		if load < least {
			home, least = o, load
		}
		if load < 1 {
			return home, true
		}
	}
	return home, false
}

// TestChoiceAsOverFullRanking: over random fleets that grow, shrink, restart cold, go down and fill up, a new object
// goes where the whole ranking sends it. Only past the short list may it differ: where no server of that has room
// the least loaded of it is taken, though others further down may have room.
func TestChoiceAsOverFullRanking(t *testing.T) {
	beyond, compared := 0, 0
	for seed := range int64(60) {
		rng := rand.New(rand.NewSource(seed))
		set := testSettings()
		set.SlowStart.From, set.SlowStart.Units, set.SlowStart.Time, set.SlowStart.Window = 0.2, 20.0, time.Minute, time.Second
		set.Plans.Limit, set.Plans.Burst = []float64{float64(rng.Intn(2)) * 50}, []float64{100}
		s := New(seed, set)
		size := []int{1, 5, 40, maxTopServers, maxTopServers + 1, 200, 700}[seed%7]
		now, next := time.Minute, 0
		tell := func(kind honeyplank.ListKind, members ...honeyplank.Member) {
			s.Handle(now, honeyplank.List{Kind: kind, Members: members})
		}
		fresh := func() honeyplank.Member {
			next++
			return member(next, 0)
		}
		var all []honeyplank.Member
		for range size {
			all = append(all, fresh())
		}
		tell(honeyplank.Complete, all...)
		for step := range 150 {
			now += time.Duration(rng.Intn(30)) * ms
			i := rng.Intn(len(all))
			switch rng.Intn(8) {
			case 0: // one leaves, another comes
				gone := all[i]
				gone.State = honeyplank.MemberState(1 + rng.Intn(2))
				all[i] = fresh()
				tell(honeyplank.Delta, gone, all[i])
			case 1:
				all[i].Started = now
				tell(honeyplank.Delta, all[i])
			case 2: // the whole list again, part of it replaced
				for range rng.Intn(size/2 + 1) {
					all[rng.Intn(len(all))] = fresh()
				}
				tell(honeyplank.Complete, all...)
			case 3: // leaves and comes back
				gone := all[i]
				gone.State = honeyplank.Draining
				tell(honeyplank.Delta, gone)
				if rng.Intn(2) == 0 {
					s.topRanked(&volume{}, 1)
				}
				tell(honeyplank.Delta, all[i])
			case 4:
				for _, o := range s.serversByID {
					o.outstanding = rng.Intn(2) * rng.Intn(40)
				}
			case 5:
				part := rng.Float64()
				for _, o := range s.serversByID {
					if o.health = up; rng.Float64() < part {
						o.health = down
					}
				}
			}
			s.now = now
			s.acceptingAt = 0 // the list of sound ones may be a sweep old: made anew here
			id := int64(rng.Intn(4))
			p := &op{Op: honeyplank.Op{Units: 1, Timeout: now + time.Second, Volume: id, Schedulers: 1, Cell: honeyplank.NewObject},
				admissionDraw: rng.Float64(), target: now + 200*ms}
			s.openVolume(p)
			list := modelRanking(s, id)
			want, room := modelChoice(s, p, list)
			got := s.chooseNewServer(p)
			s.removeHeld(p)
			s.unassigned = 0
			near := s.topRanked(p.volume, id)
			for k, r := range near {
				if r.server != list[k] {
					t.Fatalf("seed %d, step %d: place %d of the ranking is %s, want %s", seed, step, k, r.server.ID, list[k].ID)
				}
			}
			if len(near) < min(len(list), minTopServers) {
				t.Fatalf("seed %d, step %d: %d of %d servers ranked", seed, step, len(near), len(list))
			}
			compared++
			if inList := slices.Index(list, want) < len(near); want != got && (inList && room || len(list) <= minTopServers) {
				t.Fatalf("seed %d, step %d: %v, want %v", seed, step, got, want)
			}
			if first, _ := modelChoice(s, p, list[:len(near)]); first != nil {
				want = first
			}
			if want != got {
				t.Fatalf("seed %d, step %d: %v, want %v past the short list", seed, step, got, want)
			}
			beyond += boolToInt(got != nil && slices.Index(list, got) >= len(near))
		}
	}
	if beyond == 0 {
		t.Error("no choice past the short list was compared")
	}
	t.Logf("%d choices compared, %d past the short list", compared, beyond)
}

// largeFleet is one process with so many disk servers, of whose volumes new objects come.
func largeFleet(servers int) *Scheduler {
	set := testSettings()
	set.Plans.Reserve = []float64{1e6}
	s := New(1, set)
	var members []honeyplank.Member
	for i := range servers {
		members = append(members, member(i, 0))
	}
	s.Handle(time.Second, honeyplank.List{Kind: honeyplank.Complete, Members: members})
	return s
}

// playNewObjects plays so many new objects of 200 volumes, each answered after 5 ms, with a sweep every 10 ms, and servers
// that are replaced one after another.
func playNewObjects(s *Scheduler, from, n int, replace bool) {
	servers := len(s.serversByID)
	for i := from; i < from+n; i++ {
		now := time.Second + time.Duration(i)*5*ms
		id := honeyplank.OpID(fmt.Sprint(i))
		out := s.Handle(now, honeyplank.Op{ID: id, Units: 1, Timeout: now + time.Second, Volume: int64(i % 200), Schedulers: 1, Cell: honeyplank.NewObject})
		for _, a := range out {
			if d, ok := a.(honeyplank.Dispatch); ok {
				s.Handle(now+4*ms, honeyplank.Outcome{Op: id, Server: d.Server, Code: honeyplank.Succeeded, Answered: true, Elapsed: 4 * ms})
			}
		}
		if i%2 == 0 {
			s.Handle(now+4*ms, honeyplank.Timer{Name: "sweep"})
		}
		if replace && i%50 == 0 {
			gone, fresh := member(i/50, 0), member(servers+i, 0)
			gone.State = honeyplank.Removed
			s.Handle(now+4*ms, honeyplank.List{Kind: honeyplank.Delta, Members: []honeyplank.Member{gone, fresh}})
		}
	}
}

// TestWorkDoesNotGrowWithTheFleet: once the rankings are made, new objects, answers and sweeps look at no more than 1.4
// times the disk servers with 3,200 than with 200, also while servers are replaced, and the volumes hold no more of them.
func TestWorkDoesNotGrowWithTheFleet(t *testing.T) {
	for _, replace := range []bool{false, true} {
		work, held, allocations := map[int]float64{}, map[int]int{}, map[int]float64{}
		for _, servers := range []int{200, 3200} {
			s := largeFleet(servers)
			playNewObjects(s, 0, 200, false) // each volume has its list
			s.serversVisited = 0
			const objects = 4000
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			playNewObjects(s, 200, objects, replace)
			runtime.ReadMemStats(&after)
			work[servers], allocations[servers] = float64(s.serversVisited)/objects, float64(after.Mallocs-before.Mallocs)/objects
			for _, v := range s.volumes {
				held[servers] += cap(v.topServers)
			}
		}
		t.Logf("replaced: %v: visited %v, allocations %v an object; places in lists %v", replace, work, allocations, held)
		if work[3200] > 1.4*work[200] || allocations[3200] > 1.4*allocations[200] || held[3200] > held[200]*14/10 {
			t.Errorf("replaced: %v: visited %v, allocations %v an object; places in lists %v", replace, work, allocations, held)
		}
	}
}

// BenchmarkFleet is the cost of a new object, its answer and half a sweep, by the number of disk servers.
func BenchmarkFleet(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			s := largeFleet(servers)
			n := 0
			for b.Loop() {
				playNewObjects(s, n, 100, false)
				n += 100
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(n), "us/object")
			b.ReportMetric(0, "ns/op")
		})
	}
}

package faulttest

import (
	"cmp"
	"slices"
	"time"

	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/settings"
)

// injector makes a fault of a script happen now. It runs on the loop.
type injector func(*run, settings.Fault)

// Severity of a fault for which the script gives none.
const (
	defaultSlowdown     = 5.0  // times the service time
	defaultFailureShare = 0.6  // of ops
	defaultLossShare    = 0.3  // of answers
	defaultSurge        = 5.0  // times the rate
	defaultTimeoutShare = 0.25 // of the op timeout that clients wait
	defaultListDelay    = 2.0  // seconds
	replacedByRelease   = 3    // disk servers, at least
)

// scheduleFaults schedules the faults of the script.
func (r *run) scheduleFaults() {
	for _, fault := range r.script.FaultTest.Faults {
		r.after(warmUp+fault.Start.Duration(), func() {
			r.options.Log.Info().
				Str("kind", fault.Kind).
				Dur("duration_ms", fault.Duration.Duration()).
				Msg("fault injected")
			injectors[fault.Kind](r, fault)
		})
	}
}

// injectors are the faults that a script can have, by kind.
var injectors = map[string]injector{
	"slow": diskFault(func(f settings.Fault) disk.Faults {
		return disk.Faults{SlowFactor: cmp.Or(f.Factor, defaultSlowdown)}
	}),
	"fail": diskFault(func(f settings.Fault) disk.Faults {
		return disk.Faults{FailShare: cmp.Or(f.Factor, defaultFailureShare)}
	}),
	"lose-answers": diskFault(func(f settings.Fault) disk.Faults {
		return disk.Faults{DropShare: cmp.Or(f.Factor, defaultLossShare)}
	}),
	"stale-reports":  diskFault(func(settings.Fault) disk.Faults { return disk.Faults{StaleReports: true} }),
	"mute-handshake": diskFault(func(settings.Fault) disk.Faults { return disk.Faults{NoHandshake: true} }),
	"cut":            diskFault(func(settings.Fault) disk.Faults { return disk.Faults{Truncate: true} }),
	"pause":          injectPause,
	"die":            injectDeath,
	"silent":         injectSilence,
	"drain":          injectDrain,
	"replace":        injectRelease,

	"surge":           injectSurge,
	"plan-surge":      injectPlanSurge,
	"hurry":           injectShortTimeouts,
	"clients-leave":   func(r *run, f settings.Fault) { r.load.Disconnect(max(f.Count, 1)) },
	"gateway-restart": injectGatewayRestart,

	"list-down":      injectEtcdOutage,
	"list-late":      injectEtcdDelay,
	"list-cut":       func(r *run, _ settings.Fault) { r.etcd.BreakWatches() },
	"list-compacted": injectEtcdCompaction,
	"list-mute":      injectEtcdSilence,
	"re-register":    injectReRegistration,

	"dns-down":      dnsFault(dns.Faults{Rcode: 2}),
	"dns-empty":     dnsFault(dns.Faults{Empty: true}, dns.Faults{NameError: true}),
	"dns-lies":      dnsFault(dns.Faults{OtherQuestion: true}, dns.Faults{Malformed: true}, dns.Faults{WrongID: true}),
	"dns-truncated": dnsFault(dns.Faults{Truncate: true}, dns.Faults{Truncate: true, NoTCP: true}),
	"dns-drain":     injectDNSDrain,
	"dns-stale":     injectStaleDNS,

	wireFlip:   wireFault(wireFlip),
	wireDrop:   wireFault(wireDrop),
	wireDelay:  wireFault(wireDelay),
	wireCut:    wireFault(wireCut),
	wireRepeat: wireFault(wireRepeat),
	wireLie:    wireFault(wireLie),
}

// diskFault gives some disk servers faults for a time.
func diskFault(faults func(settings.Fault) disk.Faults) injector {
	return func(r *run, f settings.Fault) {
		for _, cell := range r.pick(f.Count) {
			server := r.serverOfCell[cell]
			server.SetFaults(faults(f))
			r.after(f.Duration.Duration(), func() { server.SetFaults(disk.Faults{}) })
		}
	}
}

// dnsFault gives all name servers faults, one after another, each for its part of the time.
func dnsFault(stages ...dns.Faults) injector {
	return func(r *run, f settings.Fault) {
		for i, faults := range append(slices.Clone(stages), dns.Faults{}) {
			r.after(f.Duration.Duration()*time.Duration(i)/time.Duration(len(stages)), func() {
				for _, server := range r.nameServers {
					server.SetFaults(faults)
				}
			})
		}
	}
}

func injectPause(r *run, f settings.Fault) {
	for _, cell := range r.pick(f.Count) {
		r.serverOfCell[cell].PauseFor(f.Duration.Duration())
	}
}

func injectDeath(r *run, f settings.Fault) {
	for _, cell := range r.pick(f.Count) {
		r.restart(cell, f.Duration.Duration())
	}
}

func injectSilence(r *run, f settings.Fault) {
	for _, cell := range r.pick(f.Count) {
		r.serverOfCell[cell].SetFaults(disk.Faults{Silent: true})
		r.after(f.Duration.Duration(), func() { r.restart(cell, listLag) })
	}
}

func injectDrain(r *run, f settings.Fault) {
	for _, cell := range r.pick(f.Count) {
		r.replace(cell, f.Duration.Duration())
	}
}

// injectRelease replaces several disk servers, one after another.
func injectRelease(r *run, f settings.Fault) {
	cells := r.pick(max(f.Count, replacedByRelease))
	count := time.Duration(len(cells))
	for i, cell := range cells {
		r.after(f.Duration.Duration()*time.Duration(i)/count, func() { r.replace(cell, f.Duration.Duration()/count) })
	}
}

func injectSurge(r *run, f settings.Fault) {
	volumes := r.script.Volumes.List
	for _, i := range r.rng.Perm(len(volumes))[:min(max(f.Count, 1), len(volumes))] {
		r.surge(volumes[i].NSID, f)
	}
}

func injectPlanSurge(r *run, f settings.Fault) {
	for _, volume := range r.script.Volumes.List {
		if volume.Plan == f.Plan || f.Plan == "" {
			r.surge(volume.NSID, f)
		}
	}
}

// surge multiplies the rate of a volume for a time.
func (r *run) surge(nsid uint32, f settings.Fault) {
	r.load.RateFactor[nsid] = cmp.Or(f.Factor, defaultSurge)
	r.after(f.Duration.Duration(), func() { delete(r.load.RateFactor, nsid) })
}

func injectShortTimeouts(r *run, f settings.Fault) {
	r.load.TimeoutFactor = cmp.Or(f.Factor, defaultTimeoutShare)
	r.after(f.Duration.Duration(), func() { r.load.TimeoutFactor = 0 })
}

// injectGatewayRestart kills a gateway and starts it again at the same address.
func injectGatewayRestart(r *run, f settings.Fault) {
	n := r.rng.Intn(len(r.gateways))
	g := r.gateways[n]
	address := g.Address()
	r.log.GatewayKilled(n)
	go func() { // Kill waits for the gateway's own loop
		g.Kill()
		r.loop.Post(func() {
			r.log.GatewayKilled(n)
			r.after(f.Duration.Duration(), func() {
				if err := r.startGateway(n, address); err != nil {
					r.injected = err
				}
			})
		})
	}()
}

func injectEtcdOutage(r *run, f settings.Fault) {
	r.etcd.SetUnavailable(true)
	r.after(f.Duration.Duration(), func() { r.etcd.SetUnavailable(false) })
}

func injectEtcdDelay(r *run, f settings.Fault) {
	r.etcd.SetWatchDelay(time.Duration(cmp.Or(f.Factor, defaultListDelay) * float64(time.Second)))
	r.after(f.Duration.Duration(), func() { r.etcd.SetWatchDelay(0) })
	r.replace(r.pick(1)[0], f.Duration.Duration()/2)
}

// injectEtcdCompaction has etcd miss changes and compact its history before it returns.
func injectEtcdCompaction(r *run, f settings.Fault) {
	r.etcd.SetUnavailable(true)
	for _, cell := range r.pick(f.Count) {
		r.replace(cell, f.Duration.Duration()/4)
	}
	r.after(f.Duration.Duration(), func() {
		r.etcd.CompactHistory()
		r.etcd.SetUnavailable(false)
	})
}

func injectEtcdSilence(r *run, f settings.Fault) {
	r.etcd.SetSilent(true)
	r.after(f.Duration.Duration(), func() { r.etcd.SetSilent(false) })
}

func injectReRegistration(r *run, _ settings.Fault) {
	for cell, server := range r.serverOfCell {
		if isSound(server) {
			r.list(cell, stateOn)
		}
	}
}

// injectDNSDrain has DNS alone list some servers as draining.
func injectDNSDrain(r *run, f settings.Fault) {
	for _, cell := range r.pick(f.Count) {
		r.listInDNS(cell, weightDraining)
		r.after(f.Duration.Duration(), func() { r.listInDNS(cell, weightUp) })
	}
}

// injectStaleDNS has DNS miss the replacement of some servers for a time.
func injectStaleDNS(r *run, f settings.Fault) {
	r.dnsFrozen = true
	for _, cell := range r.pick(f.Count) {
		r.replace(cell, f.Duration.Duration()/2)
	}
	r.after(f.Duration.Duration(), func() {
		r.dnsFrozen = false
		r.publishDNS()
	})
}

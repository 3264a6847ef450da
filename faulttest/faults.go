package faulttest

import (
	"cmp"
	"slices"
	"time"

	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/settings"
)

// injector injects a fault of a script. It runs on the loop.
type injector func(*run, settings.Fault)

// Defaults for faults without a factor or count in the script.
const (
	defaultSlowdown        = 5.0  // factor of the service time
	defaultFailureShare    = 0.6  // of ops
	defaultLossShare       = 0.3  // of answers
	defaultLoadSpike       = 5.0  // factor of the rate
	defaultTimeoutShare    = 0.25 // client timeout as a share of the op timeout
	defaultListDelay       = 2.0  // seconds
	minRollingReplacements = 3    // disk servers
)

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

// injectors holds the injector of each kind of fault that a script can have.
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
	"die":            injectCrash,
	"silent":         injectSilence,
	"drain":          injectDrain,
	"replace":        injectRollingReplacement,

	"surge":           injectLoadSpike,
	"plan-surge":      injectPlanLoadSpike,
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

	wireFlip:        wireFault(wireFlip),
	wireDrop:        wireFault(wireDrop),
	wireDelay:       wireFault(wireDelay),
	wireCut:         wireFault(wireCut),
	wireRepeat:      wireFault(wireRepeat),
	wireWrongLength: wireFault(wireWrongLength),
}

// diskFault returns an injector that sets faults of some disk servers for the duration of the fault.
func diskFault(faults func(settings.Fault) disk.Faults) injector {
	return func(r *run, f settings.Fault) {
		for _, cell := range r.pickFaultFree(f.Count) {
			server := r.serverOfCell[cell]
			server.SetFaults(faults(f))
			r.after(f.Duration.Duration(), func() { server.SetFaults(disk.Faults{}) })
		}
	}
}

// dnsFault returns an injector that sets faults of all name servers. The stages follow one another, each for an equal
// part of the duration.
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
	for _, cell := range r.pickFaultFree(f.Count) {
		r.serverOfCell[cell].PauseFor(f.Duration.Duration())
	}
}

func injectCrash(r *run, f settings.Fault) {
	for _, cell := range r.pickFaultFree(f.Count) {
		r.restart(cell, f.Duration.Duration())
	}
}

func injectSilence(r *run, f settings.Fault) {
	for _, cell := range r.pickFaultFree(f.Count) {
		r.serverOfCell[cell].SetFaults(disk.Faults{Silent: true})
		r.after(f.Duration.Duration(), func() { r.restart(cell, listLag) })
	}
}

func injectDrain(r *run, f settings.Fault) {
	for _, cell := range r.pickFaultFree(f.Count) {
		r.replace(cell, f.Duration.Duration())
	}
}

// injectRollingReplacement replaces several disk servers, one after another.
func injectRollingReplacement(r *run, f settings.Fault) {
	cells := r.pickFaultFree(max(f.Count, minRollingReplacements))
	count := time.Duration(len(cells))
	for i, cell := range cells {
		r.after(f.Duration.Duration()*time.Duration(i)/count, func() { r.replace(cell, f.Duration.Duration()/count) })
	}
}

func injectLoadSpike(r *run, f settings.Fault) {
	volumes := r.script.Volumes.List
	for _, i := range r.rng.Perm(len(volumes))[:min(max(f.Count, 1), len(volumes))] {
		r.loadSpike(volumes[i].NSID, f)
	}
}

func injectPlanLoadSpike(r *run, f settings.Fault) {
	for _, volume := range r.script.Volumes.List {
		if volume.Plan == f.Plan || f.Plan == "" {
			r.loadSpike(volume.NSID, f)
		}
	}
}

// loadSpike multiplies the request rate of a volume for the duration of the fault.
func (r *run) loadSpike(nsid uint32, f settings.Fault) {
	r.load.RateFactor[nsid] = cmp.Or(f.Factor, defaultLoadSpike)
	r.after(f.Duration.Duration(), func() { delete(r.load.RateFactor, nsid) })
}

func injectShortTimeouts(r *run, f settings.Fault) {
	r.load.TimeoutFactor = cmp.Or(f.Factor, defaultTimeoutShare)
	r.after(f.Duration.Duration(), func() { r.load.TimeoutFactor = 0 })
}

// injectGatewayRestart kills a random gateway and starts it again at the same address after the duration of the fault.
func injectGatewayRestart(r *run, f settings.Fault) {
	n := r.rng.Intn(len(r.gateways))
	g := r.gateways[n]
	address := g.Address()
	r.log.GatewayKilled(n)
	go func() { // because Kill blocks until the gateway's own loop has ended
		g.Kill()
		r.loop.Post(func() {
			r.log.GatewayKilled(n)
			r.after(f.Duration.Duration(), func() {
				if err := r.startGateway(n, address); err != nil {
					r.injectionErr = err
				}
			})
		})
	}()
}

func injectEtcdOutage(r *run, f settings.Fault) {
	r.etcd.SetUnavailable(true)
	r.after(f.Duration.Duration(), func() { r.etcd.SetUnavailable(false) })
}

// injectEtcdDelay delays the watches of etcd, and replaces a disk server meanwhile.
func injectEtcdDelay(r *run, f settings.Fault) {
	r.etcd.SetWatchDelay(time.Duration(cmp.Or(f.Factor, defaultListDelay) * float64(time.Second)))
	r.after(f.Duration.Duration(), func() { r.etcd.SetWatchDelay(0) })
	r.replace(r.pickFaultFree(1)[0], f.Duration.Duration()/2)
}

// injectEtcdCompaction makes etcd unavailable while disk servers are replaced. etcd compacts its history before it
// becomes available again, so that watches cannot resume from their last revision.
func injectEtcdCompaction(r *run, f settings.Fault) {
	r.etcd.SetUnavailable(true)
	for _, cell := range r.pickFaultFree(f.Count) {
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
		if isFaultFree(server) {
			r.updateList(cell, stateOn)
		}
	}
}

// injectDNSDrain makes DNS list some servers as draining while etcd lists them as on.
func injectDNSDrain(r *run, f settings.Fault) {
	for _, cell := range r.pickFaultFree(f.Count) {
		r.updateDNSRecord(cell, weightDraining)
		r.after(f.Duration.Duration(), func() { r.updateDNSRecord(cell, weightUp) })
	}
}

// injectStaleDNS keeps the DNS records unchanged while some servers are replaced, and updates them afterwards.
func injectStaleDNS(r *run, f settings.Fault) {
	r.dnsFrozen = true
	for _, cell := range r.pickFaultFree(f.Count) {
		r.replace(cell, f.Duration.Duration()/2)
	}
	r.after(f.Duration.Duration(), func() {
		r.dnsFrozen = false
		r.publishDNS()
	})
}

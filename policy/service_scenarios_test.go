package policy

import (
	"math"
	"time"

	"honeyplank"
)

// requestClass is an op type of a simulated deployment, with its traffic.
type requestClass struct {
	share     float64       // of all requests
	units     int           // largest size of a request; the smallest is 1
	unitTime  time.Duration // mean time in which a server serves a unit
	target    time.Duration
	timeout   time.Duration
	utility   float64
	semantics honeyplank.Semantics
	scope     honeyplank.DedupScope
}

// deployment is the configuration and the traffic of one instance of a large fleet.
type deployment struct {
	name    string
	classes []requestClass
	change  func(settings *honeyplank.Settings) // nil: none
	limited bool                                // plans have a limit
}

// Parameters of every simulated deployment.
const (
	fleetInstances  = 300
	fleetServers    = 12 // servers that hold the data of this instance's volumes
	fleetVolumes    = 16
	volumeInstances = 2    // instances through which a volume's ops come
	requestRate     = 30.0 // requests a second
	retryAfter      = 100 * ms
	maxAttempts     = 3 // attempts of a client at one request
)

// deployments differ in semantics, sizes, times, limits and rules.
var deployments = []deployment{
	{
		name: "idempotent ops only",
		classes: []requestClass{
			{0.55, 3, 15 * ms, 200 * ms, 1200 * ms, 2, honeyplank.Idempotent, 0},
			{0.3, 3, 15 * ms, 300 * ms, 2000 * ms, 2, honeyplank.Idempotent, 0},
			{0.15, 6, 15 * ms, 1500 * ms, 5000 * ms, 1, honeyplank.Idempotent, 0},
		},
	},
	{
		name: "no hedging",
		classes: []requestClass{
			{0.55, 2, 8 * ms, 90 * ms, 350 * ms, 3, honeyplank.Idempotent, 0},
			{0.23, 2, 12 * ms, 250 * ms, 1500 * ms, 5, honeyplank.AtMostOnce, 0},
			{0.22, 3, 20 * ms, 800 * ms, 2500 * ms, 1, honeyplank.Deduplicated, honeyplank.ScopeCell},
		},
		change: func(settings *honeyplank.Settings) {
			settings.Dispatches.HedgingAllowed, settings.Dispatches.Max = false, 2
			settings.RetryAfter = honeyplank.RetryAfterSettings{Allowed: true, Max: 300 * ms}
		},
	},
	{
		name: "no cancelling",
		classes: []requestClass{
			{0.35, 8, 12 * ms, 3000 * ms, 9000 * ms, 0.5, honeyplank.Idempotent, 0},
			{0.27, 2, 10 * ms, 150 * ms, 600 * ms, 6, honeyplank.Deduplicated, honeyplank.ScopeAll},
			{0.3, 3, 12 * ms, 400 * ms, 900 * ms, 2, honeyplank.Idempotent, 0},
			{0.08, 3, 12 * ms, 500 * ms, 2000 * ms, 3, honeyplank.AtMostOnce, 0},
		},
		change: func(settings *honeyplank.Settings) {
			settings.Dispatches.CancelAllowed, settings.Dispatches.Max = false, 6
		},
	},
	{
		name: "target latencies far apart",
		classes: []requestClass{
			{0.6, 1, 10 * ms, 80 * ms, 300 * ms, 2, honeyplank.Idempotent, 0},
			{0.4, 6, 60 * ms, 5000 * ms, 15000 * ms, 1, honeyplank.Idempotent, 0},
		},
	},
	{
		name: "target latencies close together, rare classes",
		classes: []requestClass{
			{0.9, 2, 15 * ms, 200 * ms, 220 * ms, 1, honeyplank.Idempotent, 0},
			{0.05, 2, 15 * ms, 180 * ms, 200 * ms, 4, honeyplank.AtMostOnce, 0},
			{0.05, 6, 15 * ms, 400 * ms, 450 * ms, 1, honeyplank.Deduplicated, honeyplank.ScopeZone},
		},
	},
	{
		name:    "limit and retry budget",
		limited: true,
		classes: []requestClass{
			{0.6, 2, 15 * ms, 200 * ms, 1200 * ms, 4, honeyplank.Idempotent, 0},
			{0.4, 6, 15 * ms, 1000 * ms, 4000 * ms, 1, honeyplank.Deduplicated, honeyplank.ScopeCell},
		},
		change: func(settings *honeyplank.Settings) {
			settings.Plans[0].Limit, settings.Plans[0].Burst = 20, 60
			settings.RetryBudget = honeyplank.RetryBudget{Limited: true, Free: 3, Share: 0.1, Window: 5 * time.Second}
		},
	},
}

func (d deployment) settings() *honeyplank.Settings {
	settings := testSettings()
	settings.OpTypes = d.opTypes()
	largest, mean := 0, 0.0
	for _, class := range d.classes {
		largest, mean = max(largest, class.units), mean+class.share*float64(1+class.units)/2
	}
	settings.MeanUnits, settings.LargestUnits, settings.Instances = mean, float64(largest), fleetInstances
	rate := volumeInstances * requestRate * mean / fleetVolumes
	settings.Plans[0].Rate, settings.Plans[0].Reserve = rate, rate
	settings.Dispatches.HedgingAllowed, settings.Dispatches.CancelAllowed = true, true
	settings.SlowStart = honeyplank.SlowStartSettings{
		From: 0.21, Units: 21, Time: 8 * time.Second, Window: 2 * time.Second,
	}
	if d.change != nil {
		d.change(settings)
	}
	return settings
}

func (d deployment) opTypes() (opTypes []honeyplank.OpType) {
	for _, class := range d.classes {
		opTypes = append(opTypes, honeyplank.OpType{
			TargetLatency: class.target,
			OpTimeout:     class.timeout,
			Utility:       class.utility,
			Semantics:     class.semantics,
			DedupScope:    class.scope,
			DedupWindow:   4 * time.Second,
		})
	}
	return opTypes
}

// Required service, as shares of a class's requests that are served within the target latency.
const (
	minServedBefore          = 0.5 // before the fault
	minServed                = 0.9 // during a fault that leaves the class its capacity
	minServedPartialFault    = 0.6 // during a fault in which a quarter of the servers serve nothing
	minServedWithLostAnswers = 0.3 // while a quarter of the answers are lost and use up the window
	marginStandardErrors     = 3.0 // random deviation allowed from these, in standard errors
	maxLossAfterFault        = 0.1 // of the share served before the fault, once the fault is over
)

// serviceFault changes how clients, servers or the list behave, from faultBegins to faultEnds.
type serviceFault struct {
	name  string
	begin func(run *serviceRun) // nil: no action
	end   func(run *serviceRun) // nil: no action
	// noCapacity: the fault leaves no capacity, so that no service is required until it is over.
	noCapacity bool
	surge      bool // the demand exceeds a limit
	// least is the share of each class that must be served during the fault. The class that is slow
	// itself is left out.
	least                         float64
	firstClassSlow, lastClassSlow bool // the ops of the first or the last class take long
}

// floor returns the least share of a class's requests that must be served during the fault, less
// the margin for random deviation with that number of requests.
func (fault *serviceFault) floor(class, classes int, requests float64) float64 {
	if fault.firstClassSlow && class == 0 || fault.lastClassSlow && class == classes-1 {
		return 0
	}
	return fault.least - marginStandardErrors*math.Sqrt(fault.least*(1-fault.least)/requests)
}

const (
	silentAnswer   = time.Hour // time of an answer that never comes
	unusualTimeout = 1e9 * ms
	slowFactor     = 20 // factor of the service times of slow servers or classes
	surgeFactor    = 10 // factor of the request rate in a surge
)

// answeredBy returns a fault in which the first servers end every dispatch with a code after a
// time.
func answeredBy(code honeyplank.Code, after time.Duration, servers int) func(*serviceRun) {
	return func(run *serviceRun) {
		run.answer = func(_ *clientRequest, server int, took time.Duration) (honeyplank.Code, time.Duration) {
			if server < servers {
				return code, after
			}
			return honeyplank.Succeeded, took
		}
	}
}

// slowed returns a fault in which the first servers are slow to serve the classes that match.
func slowed(servers int, match func(run *serviceRun, class int) bool) func(*serviceRun) {
	return func(run *serviceRun) {
		run.answer = func(request *clientRequest, server int, took time.Duration) (honeyplank.Code, time.Duration) {
			if server < servers && match(run, request.class) {
				took *= slowFactor
			}
			return honeyplank.Succeeded, took
		}
	}
}

func anyClass(*serviceRun, int) bool { return true }

func firstClass(_ *serviceRun, class int) bool { return class == 0 }

func lastClass(run *serviceRun, class int) bool { return class == len(run.classes)-1 }

// fastAnswers lets each server give its first answer very fast.
func fastAnswers(run *serviceRun) {
	seen := map[int]bool{}
	run.answer = func(_ *clientRequest, server int, took time.Duration) (honeyplank.Code, time.Duration) {
		if !seen[server] {
			seen[server] = true
			return honeyplank.Succeeded, 50 * time.Microsecond
		}
		return honeyplank.Succeeded, took
	}
}

// loseAnswers loses a quarter of the answers.
func loseAnswers(run *serviceRun) {
	run.answer = func(_ *clientRequest, _ int, took time.Duration) (honeyplank.Code, time.Duration) {
		if run.rng.Intn(4) == 0 {
			return honeyplank.TimedOut, silentAnswer
		}
		return honeyplank.Succeeded, took
	}
}

var serviceFaults = []serviceFault{
	{name: "none", least: minServed},
	{
		name: "one client of each class with an unusual timeout", least: minServed,
		begin: func(run *serviceRun) {
			for class := range run.classes {
				run.arrive(class, unusualTimeout)
			}
		},
	},
	{
		name: "some clients wait for less than others", least: minServed,
		begin: func(run *serviceRun) {
			run.clientTimeout = func(timeout time.Duration) time.Duration {
				return time.Duration(float64(timeout) * []float64{1, 0.7, 0.7, 0.7}[run.rng.Intn(4)])
			}
		},
	},
	{name: "all servers slow", begin: slowed(fleetServers, anyClass), noCapacity: true},
	{name: "a quarter of the servers slow", least: minServedPartialFault, begin: slowed(fleetServers/4, anyClass)},
	{name: "the first class slow", least: minServed, firstClassSlow: true, begin: slowed(fleetServers, firstClass)},
	{name: "the last class slow", least: minServed, lastClassSlow: true, begin: slowed(fleetServers, lastClass)},
	{name: "no answers", begin: answeredBy(honeyplank.TimedOut, silentAnswer, fleetServers), noCapacity: true},
	{
		name: "no answers from a quarter of the servers", least: minServedPartialFault,
		begin: answeredBy(honeyplank.TimedOut, silentAnswer, fleetServers/4),
	},
	{name: "errors", begin: answeredBy(honeyplank.Failed, ms, fleetServers), noCapacity: true},
	{
		name: "errors from a quarter of the servers", least: minServedPartialFault,
		begin: answeredBy(honeyplank.Failed, ms, fleetServers/4),
	},
	{name: "resets", begin: answeredBy(honeyplank.Reset, 5*ms, fleetServers), noCapacity: true},
	{name: "no connections", begin: answeredBy(honeyplank.ConnectFailed, 250*ms, fleetServers), noCapacity: true},
	{name: "full queues", begin: answeredBy(honeyplank.Rejected, ms, fleetServers), noCapacity: true},
	{
		name: "full queues at a quarter of the servers", least: minServedPartialFault,
		begin: answeredBy(honeyplank.Rejected, ms, fleetServers/4),
	},
	{name: "dispatches not sent", begin: answeredBy(honeyplank.NotSent, 0, fleetServers), noCapacity: true},
	{name: "one very fast answer of each server", least: minServed, begin: fastAnswers},
	{name: "lost answers", least: minServedWithLostAnswers, begin: loseAnswers},
	{
		name: "the first class surges", least: minServed, surge: true,
		begin: func(run *serviceRun) { run.rateFactor = surgeFactor },
	},
	{
		name: "all servers removed and added again", noCapacity: true,
		begin: func(run *serviceRun) { run.sendList(honeyplank.Removed, 0) },
		end:   func(run *serviceRun) { run.sendList(honeyplank.Up, 0) },
	},
	{
		name: "all servers restart", noCapacity: true,
		begin: func(run *serviceRun) { run.sendList(honeyplank.Up, run.now) },
	},
}

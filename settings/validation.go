package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

// The ranges of values that the protocol layer supports.
const (
	minBlock, maxBlock       = 512, 64 * kib
	minTransfer, maxTransfer = 4 * kib, 1 * mib
	minDataPDU, maxDataPDU   = 4 * kib, 1 * mib
	minCapsule               = 1 * kib
	minQueue, maxQueue       = 2, 1024
	dataPDUAlignment         = 4
	capsuleAlignment         = 16
)

// constraint is a condition on the values of a file, and the error to report if it doesn't hold.
type constraint struct {
	holds    bool
	at       position
	problem  string
	expected string
}

// validate checks the constraints that the schema can't express. It returns the first violation as an *Error.
func validate(g *Gateway, root *node) error {
	v := validator{g, root}
	constraints := slices.Concat(
		v.blockSizes(), v.limits(), v.diskServers(), v.scheduler(), v.policy(), v.endpointList(), v.clientLimits(),
		v.discoverySources(), v.addresses(), v.opTypes(), v.opTypeCoverage(), v.plans(), v.volumes(),
	)
	for _, c := range constraints {
		if !c.holds {
			return c.at.newError(c.problem, c.expected)
		}
	}
	return nil
}

// validator holds the settings and the root element of a file. Each of its methods that return constraints covers one
// topic.
type validator struct {
	*Gateway
	root *node
}

// sectionPosition returns the position of the element at a path. The schema permits exactly one.
func (v validator) sectionPosition(path string) position { return v.root.find(path)[0].at }

func isPowerOfTwo(b Bytes) bool { return b > 0 && b&(b-1) == 0 }

func isWithin[T Bytes | int](value, minimum, maximum T) bool {
	return value >= minimum && value <= maximum
}

func (v validator) blockSizes() []constraint {
	at := v.sectionPosition("volumes")
	block, extent := v.Volumes.Block, v.Volumes.Extent
	return []constraint{
		{isPowerOfTwo(block) && isWithin(block, minBlock, maxBlock), at,
			"block is not a power of two from 512B to 64KiB", "such as 4KiB"},
		{v.Volumes.Unit > 0, at, "unit is 0", "such as 16KiB"},
		{extent > 0 && block > 0 && extent%block == 0, at, "extent is not a multiple of block", ""},
	}
}

func (v validator) limits() []constraint {
	at, l := v.sectionPosition("limits"), v.Limits
	dataPDU, capsule := l.MaxDataPDU, l.MaxCapsule
	return []constraint{
		{isPowerOfTwo(l.MaxTransfer) && isWithin(l.MaxTransfer, minTransfer, maxTransfer), at,
			"transfer is not a power of two from 4KiB to 1MiB", "such as 128KiB"},
		{dataPDU%dataPDUAlignment == 0 && isWithin(dataPDU, minDataPDU, maxDataPDU), at,
			"piece is not a multiple of 4 from 4KiB to 1MiB", "such as 128KiB"},
		{capsule%capsuleAlignment == 0 && isWithin(capsule, minCapsule, dataPDU), at,
			"capsule is not a multiple of 16 from 1KiB to piece", "such as 8KiB"},
		{isWithin(l.QueueDepth, minQueue, maxQueue), at, "depth is not from 2 to 1024", "such as 128"},
		{l.MaxBuffered >= l.MaxTransfer, at, "held is less than transfer", "at least one transfer must fit"},
		{l.MaxUnsent >= 4*l.MaxTransfer, at, "unsent is less than four times transfer", "several answers must fit"},
		{l.HandshakeTimeout > 0, at, "handshake is 0", "such as 1s"},
	}
}

func (v validator) diskServers() []constraint {
	at, servers := v.sectionPosition("disk-servers"), v.DiskServers
	return []constraint{
		{isWithin(servers.QueueDepth, minQueue, maxQueue), at, "depth is not from 2 to 1024", "such as 256"},
		{servers.ConnectTimeout > 0, at, "connect-within is 0", "such as 250ms"},
	}
}

func (v validator) scheduler() []constraint {
	at := v.sectionPosition("scheduler")
	return []constraint{
		{v.Scheduler.Ordinal < v.Scheduler.Instances, at, "ordinal is not below hosts", "ordinals start at 0"},
	}
}

func (v validator) policy() []constraint {
	at := v.sectionPosition("rules")
	slowStart, budget := v.Policy.SlowStart, v.Policy.RetryBudget
	return []constraint{
		{slowStart == nil || slowStart.From > 0 && slowStart.Window > 0, at,
			"cold has from or window 0", "omit the element if servers start at the full rate"},
		{budget == nil || budget.Window > 0, at,
			"budget has window 0", "omit the element if there is no budget"},
	}
}

func (v validator) endpointList() []constraint {
	at := v.sectionPosition("list")
	return []constraint{
		{v.EndpointList.WatchWithin > 0, at, "ask-within is 0", "such as 10s"},
		{v.EndpointList.MaxServers > 0, at, "most is 0", "a number above any expected fleet size, such as 20000"},
	}
}

func (v validator) clientLimits() []constraint {
	c := v.Limits.Client
	if c == nil {
		return nil
	}
	usable := c.MaxConnections >= 2 && c.ViolationWindow > 0 && c.InitialBan > 0 && c.MaxBan >= c.InitialBan &&
		c.MaxBufferedBytes >= v.Limits.MaxTransfer
	return []constraint{
		{usable, v.sectionPosition("limits"),
			"peer has fewer than 2 connections, bytes less than transfer, window or shut 0, or most less than shut",
			"a host needs two connections, and at least one transfer must fit"},
	}
}

func (v validator) discoverySources() []constraint {
	at, list := v.sectionPosition("list"), v.EndpointList
	if list.DNS == nil {
		return []constraint{{len(list.Etcd) > 0, at, "the list has no source", "etcd, dns, or both"}}
	}
	dns := list.DNS
	usable := dns.MinInterval > 0 && dns.MinInterval <= dns.MaxInterval && dns.Timeout > 0
	return []constraint{
		{list.SourceTrust != nil, at, "dns is given without a believe", "add a <believe> element"},
		{usable, at, "dns has floor or timeout 0, or floor over ceiling",
			"such as floor 1s, ceiling 30s, timeout 500ms"},
	}
}

func (v validator) addresses() []constraint {
	nodes := slices.Concat(v.root.find("listen"), v.root.find("list/etcd"), v.root.find("list/dns/server"))
	var constraints []constraint
	for _, n := range nodes {
		text := n.attributes["address"] + n.attributes["endpoint"] // an element has only one of them
		_, err := netip.ParseAddrPort(text)
		constraints = append(constraints,
			constraint{err == nil, n.at, fmt.Sprintf("%q is not an address", text), "such as 127.0.0.1:4420"})
	}
	return constraints
}

// lengthRange is a range of command lengths in bytes, both ends included.
type lengthRange struct{ minimum, maximum Bytes }

func (l lengthRange) overlaps(other lengthRange) bool {
	return l.maximum >= other.minimum && l.minimum <= other.maximum
}

// lengthsOf returns the range of lengths that commands of an op type may have.
func (v validator) lengthsOf(t OpType) lengthRange {
	if t.MaxBytes == 0 {
		return lengthRange{t.MinBytes, max(v.Limits.MaxTransfer, 1)}
	}
	return lengthRange{t.MinBytes, t.MaxBytes}
}

func (v validator) opTypes() []constraint {
	var constraints []constraint
	elements := v.root.find("op-types/op-type")
	for i, t := range v.OpTypes {
		at := elements[i].at
		for _, earlier := range v.OpTypes[:i] {
			if earlier.Opcode != t.Opcode {
				continue
			}
			constraints = append(constraints, constraint{!v.lengthsOf(t).overlaps(v.lengthsOf(earlier)), at,
				fmt.Sprintf("the lengths of %q overlap another op type's", t.Name),
				"each length of an opcode belongs to one op type"})
		}
		constraints = append(constraints,
			constraint{t.TargetLatency > 0 && t.TargetLatency <= t.OpTimeout, at,
				fmt.Sprintf("the target latency of %q is 0 or over its op timeout", t.Name),
				"it must not exceed the time after which the client gives up"},
			constraint{v.Policy.AnswerMargin < t.OpTimeout/2, v.sectionPosition("rules"),
				fmt.Sprintf("answer-margin is half of the op timeout of %q or more", t.Name),
				"it is the time that an answer takes to reach the client"},
			constraint{t.Semantics != Deduplicated || t.DedupWindow > 0, at,
				fmt.Sprintf("%q is deduplicated without a time", t.Name),
				"remember is the time for which repeats are dropped"})
	}
	return constraints
}

// opTypeCoverage requires that each length that a command may have belongs to an op type.
func (v validator) opTypeCoverage() []constraint {
	if v.Volumes.Block == 0 {
		return nil // blockSizes reports it
	}
	at := v.sectionPosition("op-types")
	var constraints []constraint
	for _, opcode := range []Opcode{OpcodeRead, OpcodeWrite} {
		next := v.firstUncovered(opcode)
		constraints = append(constraints, constraint{next > v.Limits.MaxTransfer, at,
			fmt.Sprintf("a %s of %d bytes has no op type", opcode, next), "each length up to transfer needs one"})
	}
	return constraints
}

// firstUncovered returns the smallest length, in whole blocks, that no op type of an opcode covers. The result is in
// bytes.
func (v validator) firstUncovered(opcode Opcode) Bytes {
	var covered []lengthRange
	for _, t := range v.OpTypes {
		if t.Opcode == opcode {
			covered = append(covered, v.lengthsOf(t))
		}
	}
	slices.SortFunc(covered, func(a, b lengthRange) int { return int(a.minimum - b.minimum) })
	block := v.Volumes.Block
	next := block
	for _, l := range covered {
		if l.minimum <= next {
			next = max(next, (l.maximum/block+1)*block)
		}
	}
	return next
}

func (v validator) plans() []constraint {
	var constraints []constraint
	elements := v.root.find("plans/plan")
	for i, p := range v.Plans.List {
		constraints = append(constraints, constraint{p.Limit == 0 || p.Burst > 0, elements[i].at,
			fmt.Sprintf("plan %q has a limit without a burst", p.Name),
			"burst is the amount that the limit refills up to"})
	}
	return constraints
}

func (v validator) volumes() []constraint {
	var constraints []constraint
	block := v.Volumes.Block
	elements := v.root.find("volumes/volume")
	for i, volume := range v.Volumes.List {
		at := elements[i].at
		constraints = append(constraints,
			constraint{volume.Size > 0 && block > 0 && volume.Size%block == 0, at,
				fmt.Sprintf("the size of %q is not a multiple of block", volume.Name), ""},
			constraint{volume.Instances <= v.Scheduler.Instances, at,
				fmt.Sprintf("%q has more hosts than the scheduler element", volume.Name), ""})
	}
	return constraints
}

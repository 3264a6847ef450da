package fuzzcorpus

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Mutation is a fault put into a parser or state machine, as a change of its text, that its target must find.
type Mutation struct {
	Package, Target string
	File            string
	Old, New        string // Old stands in the file once
	Kind            string
}

// Mutations are the seeded faults: lengths off by one, checks of state that are missing, bounds that are gone.
var Mutations = []Mutation{
	{"nvme", "FuzzDecode", "nvme/pdu.go", "if len(b) < headLen {", "if len(b) < headLen-1 {", "a header one byte short is read"},
	{"nvme", "FuzzDecode", "nvme/pdu.go", "if len(b) < size {", "if len(b) < size-1 {", "a PDU one byte short is read"},
	{"nvme", "FuzzFrame", "nvme/pdu.go", "if hlen != way.hlen {", "if hlen < way.hlen {", "a longer header is let pass"},
	{"nvme", "FuzzFrame", "nvme/pdu.go", "if wantData && size < from+digestLen {", "if wantData && size < from+digestLen-1 {", "room for a digest is a byte short"},
	{"nvme", "FuzzFrame", "nvme/pdu.go", "&& int(p.Length()) != len(p.Data) {", "&& int(p.Length()) > len(p.Data)+1 {", "a data length that lies is let pass"},
	{"nvme", "FuzzFrame", "nvme/pdu.go", "if pdo < least || pdo > size", "if pdo > size", "data may begin within the header"},
	{"nvme", "FuzzFrame", "nvme/pdu.go", "plen > uint32(most) {", "plen > uint32(most)+1 {", "a PDU a byte too long is waited for"},
	{"nvme", "FuzzFrame", "nvme/pdu.go", "	if len(p.Data) > f.MaxData && !plain {", "	if len(p.Data) > f.MaxData+1 && !plain {", "data a byte over the bound"},
	{"nvme", "FuzzFrame", "nvme/pdu.go", "	if (p.Flags&FlagHeaderDigest != 0) != wantHeader {", "	if p.Flags&FlagHeaderDigest != 0 && !wantHeader {", "a header without its digest"},
	{"nvme", "FuzzFrame", "nvme/pdu.go", "pdo%4 != 0 {", "pdo%4 == 3 {", "data that is not aligned"},
	{"target", "FuzzModel", "target/session.go", "from+int64(n) > int64(c.Bytes) || n == 0", "from+int64(n) > int64(c.Bytes)+1 || n == 0", "a byte past what was asked for is taken"},
	{"target", "FuzzModel", "target/session.go", "if from != int64(c.got) ||", "if from > int64(c.got) ||", "data may come twice"},
	{"target", "FuzzModel", "target/session.go", "if c == nil || c.CID() != p.CCCID() {", "if c == nil {", "data may name another command"},
	{"target", "FuzzModel", "target/session.go", "if len(s.commands)+s.events >= s.size {", "if len(s.commands)+s.events > s.size {", "one command more than the queue holds"},
	{"target", "FuzzModel", "target/session.go", "	if s.commands[c.CID()] != nil {", "	if x := s.commands[c.CID()]; x != nil && x.state == receiving {", "an id that is in use is taken again"},
	{"target", "FuzzModel", "target/session.go", "n.Blocks-c.SLBA() < uint64(c.Blocks())", "n.Blocks-c.SLBA()+1 < uint64(c.Blocks())", "a block past the end of a volume"},
	{"target", "FuzzModel", "target/session.go", "	if p.BadData && c.state == receiving {", "	if false {", "damaged data is written"},
	{"target", "FuzzSequence", "target/session.go", "	if c.state == receiving && s.phase != phaseEnded {", "	if c.state != over {", "a command may be given up twice"},
	{"initiator", "FuzzModel", "initiator/session.go", "from != int64(v.asked) || n == 0 || from+n > int64(len(v.data))", "from != int64(v.asked) || n == 0 || from+n > int64(len(v.data))+1", "an R2T a byte past the data"},
	{"initiator", "FuzzModel", "initiator/session.go", "	if from != int64(v.got) || from+int64(n) > int64(v.read)", "	if from > int64(v.got) || from+int64(n) > int64(v.read)", "data may come twice"},
	{"initiator", "FuzzModel", "initiator/session.go", "v.busy && v.used<<slotBits|uint16(i) == cid", "v.busy", "an answer to an earlier command ends a later one"},
	{"initiator", "FuzzModel", "initiator/session.go", "&& v.read != v.got {", "&& v.read < v.got {", "success before the data"},
	{"initiator", "FuzzModel", "initiator/session.go", "&& v.asked != len(v.data) && v.write {", "&& false {", "success of a Write before its data"},
	{"initiator", "FuzzController", "initiator/session.go", "	s.free = append(s.free, v.index)\n	if call", "	s.free = append(s.free, v.index, v.index)\n	if call", "a slot is freed twice"},
	{"discovery/etcd", "FuzzWatch", "discovery/etcd/list.go", "if e.Kv.ModRevision <= l.revision {", "if e.Kv.ModRevision < l.revision {", "a revision passed on is passed on again"},
	{"discovery/etcd", "FuzzWatch", "discovery/etcd/list.go", "l.revision = max(l.revision, l.lastRevision)", "l.revision = max(l.revision, r.Header.Revision)", "the header's revision counts as reached"},
	{"discovery/etcd", "FuzzWatch", "discovery/etcd/watch.go", "if e.GetKv() == nil || e.Kv.ModRevision < before {", "if e.Kv.ModRevision < before {", "an event without its pair"},
	{"discovery/etcd", "FuzzWatch", "discovery/etcd/watch.go", "if r.Header.Revision < l.revision {", "if r.Header.Revision < l.revision-1 {", "a history that is another"},
	{"discovery/etcd", "FuzzWatch", "discovery/etcd/watch.go", "{receivingFragments, ignore}", "{receivingFragments, (*list).progress}", "progress passes events that are still in fragments"},
	{"discovery/etcd", "FuzzWatch", "discovery/etcd/list.go", "case !listed && len(l.nodes)+l.growth >= l.maxNodes:", "case !listed && len(l.nodes)+l.growth > l.maxNodes:", "one node more than the bound"},
	{"discovery", "FuzzRecord", "discovery/discovery.go", "r.Cell < 0 || ", "r.Cell < -1 || ", "a cell below zero"},
	{"discovery/dns", "FuzzAnswer", "discovery/dns/exchange.go", "if header.Rrtype == recordType {", "if header.Rrtype >= recordType {", "records of another type are taken"},
	{"discovery/dns", "FuzzNames", "discovery/dns/exchange.go", "!m.Response || m.Opcode != mdns.OpcodeQuery || len(m.Question) != 1", "!m.Response || m.Opcode != mdns.OpcodeQuery || len(m.Question) > 1", "an answer without its question"},
	{"discovery/dns", "FuzzNames", "discovery/dns/list.go", "if part == nil || r.Port == 0 {", "if part == nil {", "a server without a port counts"},
	{"discovery/dns", "FuzzAsk", "discovery/dns/resolver.go", "r.failed >= r.settings.servers {", "r.failed > r.settings.servers {", "one server more than there is"},
	{"discovery/dns", "FuzzAsk", "discovery/dns/resolver.go", "r.preferred, r.failed, r.interval = r.next.server, 0, 0", "r.preferred, r.failed = r.next.server, 0", "an answer does not shorten the pause"},
	{"settings", "FuzzEdit", "settings/schema.go", "			if a.Use == \"required\" {", "			if a.Use == \"required\" && len(n.children) > 0 {", "a required attribute is missed"},
	{"settings", "FuzzEdit", "settings/schema.go", "		if !known[name] {", "		if !known[name] && len(n.children) > 0 {", "an attribute that is not known"},
	{"settings", "FuzzEdit", "settings/schema.go", "if count++; count > most {", "if count++; count > most+1 {", "one element more than the schema has"},
	{"settings", "FuzzEdit", "settings/schema.go", "if count < occurs(sequence[i].MinOccurs) {", "if count < occurs(sequence[i].MinOccurs)-1 {", "an element that must be there is missed"},
	{"internal/simwire", "FuzzServe", "internal/simwire/serve.go", "	if b.WallMS == nil {", "	if b.News == nil {", "a batch without its time"},
	{"internal/simwire", "FuzzServe", "internal/simwire/serve.go", "	if in == nil || in.failed {", "	if in != nil && in.failed {", "an event for an instance that never was"},
}

// Found is what a target made of a fault.
type Found struct {
	Mutation
	Replayed int           // inputs of the corpus that ran, the one that failed last
	Corpus   bool          // the corpus found it
	Fuzzed   int64         // else: inputs that were made after, as counted every three seconds
	Found    bool          // by either
	Took     time.Duration // with the compiler's part
}

// replayed counts the inputs up to the first that failed, or all.
func replayed(out, target string) int {
	run := strings.Split(out, "=== RUN   "+target+"/")[1:]
	if m := regexp.MustCompile(`--- FAIL: ` + target + `/(\S+)`).FindStringSubmatch(out); m != nil {
		for i, r := range run {
			if name, _, _ := strings.Cut(r, "\n"); strings.TrimSpace(name) == m[1] {
				return i + 1
			}
		}
	}
	return len(run)
}

// Try puts each fault into the text as the compiler sees it, never into the file, and runs its target: the corpus
// first and, where that finds nothing, up to runs new inputs.
func Try(ctx context.Context, root string, sabotages []Mutation, runs int, done func(Found)) error {
	into, err := os.MkdirTemp("", "sabotage")
	if err != nil {
		return err
	}
	defer os.RemoveAll(into)
	if root, err = filepath.Abs(root); err != nil {
		return err
	}
	for _, s := range sabotages {
		f := Found{Mutation: s}
		began := time.Now()
		path := filepath.Join(root, filepath.FromSlash(s.File))
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if n := strings.Count(string(text), s.Old); n != 1 {
			return fmt.Errorf("corpus: %q stands %d times in %s, not once: the fault is out of date", s.Old, n, s.File)
		}
		changed, overlay := filepath.Join(into, "changed.go"), filepath.Join(into, "overlay.json")
		if err := os.WriteFile(changed, []byte(strings.Replace(string(text), s.Old, s.New, 1)), 0o644); err != nil {
			return err
		}
		list, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
		if err != nil {
			return err
		}
		if err := os.WriteFile(overlay, list, 0o644); err != nil {
			return err
		}
		t := Target{Package: s.Package, Name: s.Target}
		binary, err := build(ctx, root, t, into, "-overlay", overlay)
		if err != nil {
			return err
		}
		out, err := command(ctx, filepath.Join(root, filepath.FromSlash(s.Package)), binary, "-test.run", "^"+s.Target+"$", "-test.v", "-test.failfast", "-test.timeout", "60s")
		if ctx.Err() != nil {
			return ctx.Err()
		}
		f.Found, f.Corpus = err != nil, err != nil
		f.Replayed = replayed(out, s.Target)
		if !f.Found {
			// Built to be fuzzed; what an earlier fuzzing has left in the compiler's cache is not used.
			if binary, err = build(ctx, root, t, into, "-overlay", overlay, "-fuzz", "^"+s.Target+"$"); err != nil {
				return err
			}
			out, err := command(ctx, filepath.Join(root, filepath.FromSlash(s.Package)), binary, "-test.run", "^$", "-test.fuzz", "^"+s.Target+"$",
				"-test.fuzztime", strconv.Itoa(runs)+"x", "-test.fuzzminimizetime", "1x", "-test.fuzzcachedir", filepath.Join(into, "cache"))
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if m := written.FindStringSubmatch(out); m != nil { // of the fault, not of the product
				if err := os.Remove(filepath.Join(root, filepath.FromSlash(s.Package), filepath.FromSlash(m[1]))); err != nil {
					return err
				}
			}
			f.Found = err != nil
			if all := execs.FindAllStringSubmatch(out, -1); len(all) > 0 {
				f.Fuzzed, _ = strconv.ParseInt(all[len(all)-1][1], 10, 64)
			}
		}
		f.Took = time.Since(began)
		done(f)
	}
	return nil
}

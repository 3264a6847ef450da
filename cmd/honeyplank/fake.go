package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/discovery"
	"honeyplank/eventloop"
	"honeyplank/fake/disk"
	"honeyplank/fake/dns"
	"honeyplank/fake/etcd"
	"honeyplank/faulttest"
)

type fakeCommand struct {
	Disk diskCommand `cmd:"" help:"Run a fake disk server as in a script, until interrupted."`
	DNS  dnsCommand  `cmd:"" help:"Run a DNS server that lists the given disk servers, until interrupted."`
	Etcd etcdCommand `cmd:"" help:"Run a fake etcd that lists the given disk servers, until interrupted."`
}

type diskCommand struct {
	Script string        `arg:"" help:"Script, or settings with a <rehearsal>, whose fleet describes the server."`
	Listen string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Slow   float64       `help:"Factor by which the service time is multiplied."`
	Fail   float64       `help:"Share of ops that fail."`
	Lose   float64       `help:"Share of answers that are never sent."`
	Silent time.Duration `help:"Stop answering after this time; 0: never."`
}

func (c *diskCommand) Run(log zerolog.Logger) error {
	s, err := readSettings(c.Script)
	if err != nil {
		return err
	}
	if s.FaultTest == nil {
		return usageError{fmt.Errorf("%s has no <rehearsal>", c.Script)}
	}
	l, err := eventloop.New(time.Minute)
	if err != nil {
		return err
	}
	d, err := disk.New(l, c.Listen, faulttest.DiskModel(s), time.Now().UnixNano())
	if err != nil {
		return err
	}
	d.SetFaults(disk.Faults{SlowFactor: c.Slow, FailShare: c.Fail, DropShare: c.Lose})
	if c.Silent > 0 {
		l.Schedule(l.Now()+c.Silent, func() {
			log.Warn().Msg("fake stops answering")
			d.SetFaults(disk.Faults{Silent: true})
		})
	}
	fmt.Println(d.Address())
	ctx, stop := signalContext()
	defer stop()
	go func() { // if the loop fails first, this goroutine ends with the process
		<-ctx.Done()
		l.Post(l.Stop)
	}()
	return l.Run()
}

type etcdCommand struct {
	Nodes  []string `arg:"" optional:"" help:"Addresses of disk servers, in order of cells."`
	Listen string   `help:"Address to listen on." default:"127.0.0.1:0"`
	Prefix string   `help:"Prefix of the keys." default:"/honeyplank/nodes/"`
}

func (c *etcdCommand) Run() error {
	s, err := etcd.New(c.Listen)
	if err != nil {
		return err
	}
	defer s.Close()
	for cell, address := range c.Nodes {
		value, err := json.Marshal(discovery.Record{State: "on", Size: 1, Cell: cell})
		if err != nil {
			return err
		}
		s.Set(c.Prefix+address, value)
	}
	fmt.Println(s.Address())
	ctx, stop := signalContext()
	defer stop()
	<-ctx.Done()
	return nil
}

type dnsCommand struct {
	Nodes    []string `arg:"" optional:"" help:"Addresses of disk servers, in order of cells; suffix /0: draining."`
	Name     string   `help:"Owner of the SRV records." default:"_honeyplank._tcp.storage.example."`
	Lifetime uint32   `help:"TTL of the records in seconds." default:"10"`
	Truncate bool     `help:"Truncate over UDP."`
	Empty    bool     `help:"Answer without records or an SOA."`
	Rcode    int      `help:"Answer with this response code."`
}

func (c *dnsCommand) Run() error {
	s, err := dns.New(c.Name)
	if err != nil {
		return err
	}
	defer s.Close()
	var list []dns.Record
	for cell, text := range c.Nodes {
		address, drains := strings.CutSuffix(text, "/0")
		at, err := netip.ParseAddrPort(address)
		if err != nil {
			return usageError{err}
		}
		r := dns.Record{
			Target: fmt.Sprintf("n%d--c%d.storage.example.", cell, cell),
			IP:     at.Addr().String(),
			Port:   at.Port(),
			Weight: 1,
		}
		if drains {
			r.Weight = 0
		}
		list = append(list, r)
	}
	s.SetRecords(c.Lifetime, list)
	s.SetFaults(dns.Faults{Truncate: c.Truncate, Empty: c.Empty, Rcode: c.Rcode})
	fmt.Println(s.Address())
	ctx, stop := signalContext()
	defer stop()
	<-ctx.Done()
	return nil
}

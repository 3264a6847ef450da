package main

import (
	"fmt"
	"strconv"
	"syscall"
	"time"

	fake "honeyplank/fake/resp"
	"honeyplank/resp"
)

// stallTime is the time for which the scheduler stands still, between the 840 and 1,600 ms of the pages.
const stallTime = 1400 * time.Millisecond

// deployment is a set of schedulers with their disk servers. Only the first scheduler gets requests.
type deployment struct {
	disks     []*disk
	scheduler *scheduler
}

// deploy starts disk servers, discovery and the schedulers. work is the time of a disk server for each unit.
func (l *lab) deploy(disks int, work time.Duration) (*deployment, error) {
	d := &deployment{}
	for i := range disks {
		server, err := l.startDisk(fmt.Sprintf("disk %d", i), work)
		if err != nil {
			return nil, err
		}
		server.cell = i
		d.disks = append(d.disks, server)
	}
	list := members(d.disks)
	discovery, err := fake.NewDiscovery(list...)
	if err != nil {
		return nil, err
	}
	l.atEnd(discovery.Stop)
	for i := range schedulers {
		s, err := l.startScheduler(i, dakarSettings(disks), discovery.Address(), list)
		if err != nil {
			return nil, err
		}
		if i == 0 {
			d.scheduler = s
		}
	}
	return d, nil
}

// stall stops the scheduler for stallTime, if the case has its disruption; during is called meanwhile.
func (d *deployment) stall(l *lab, during func()) {
	end := time.Now().Add(stallTime)
	if l.trouble {
		d.scheduler.signal(syscall.SIGSTOP)
		time.Sleep(20 * time.Millisecond)
	}
	during()
	time.Sleep(time.Until(end))
	if l.trouble {
		d.scheduler.signal(syscall.SIGCONT)
	}
}

// warmUp sends ordinary reads, so that the scheduler has a connection to each of the disk servers.
func (d *deployment) warmUp(l *lab, disks []*disk) error {
	for i, disk := range disks {
		c, err := dialClient(l, d.scheduler.address)
		if err != nil {
			return err
		}
		c.ask(&request{class: "doc-read", plan: "premium", id: "first-" + strconv.Itoa(i), timeout: 2 * time.Second,
			volume: 100 + i, piece: 100 + i, units: 2, shard: disk.cell, hosts: 1})
		r := c.next(3 * time.Second)
		c.close()
		if r == nil || r.value.Kind != resp.BulkString {
			return fmt.Errorf("no value before the disruption but %s", r.text())
		}
	}
	return nil
}

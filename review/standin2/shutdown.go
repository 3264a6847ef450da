package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// killDelay is the least time from SIGTERM to SIGKILL: the longest deadline, which counts as 3 s, and 0.7 s.
	killDelay = 3700 * time.Millisecond
	// laterThan is the time after SIGTERM from which a request that SIGKILL finds unanswered is lost.
	laterThan = 700 * time.Millisecond
)

func init() { cases["stall-shutdown"] = killedWithRequests }

// killedWithRequests restarts the scheduler while it stands still: SIGTERM comes during the stall, SIGKILL when the
// platform may send it. Clients use their connections for as long as these stay open.
func killedWithRequests(l *lab) error {
	d, err := l.deploy(5, 25*time.Millisecond)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	users := make([]*user, 12)
	for i := range users {
		c, err := dialClient(l, d.scheduler.address)
		if err != nil {
			return err
		}
		users[i] = &user{client: c, number: i}
		running.Go(func() { users[i].run(stop) })
	}
	time.Sleep(time.Second)
	var terminated time.Time
	terminate := func() {
		terminated = time.Now()
		d.scheduler.signal(syscall.SIGTERM)
	}
	d.stall(l, terminate)
	time.Sleep(time.Until(terminated.Add(killDelay + slack)))
	killed := time.Now()
	d.scheduler.signal(syscall.SIGKILL)
	close(stop)
	running.Wait()
	<-d.scheduler.ended
	if err := d.scheduler.start(); err != nil { // the restart is complete
		return err
	}
	served := 0
	for _, u := range users {
		served += u.served
		if u.open == "" {
			continue
		}
		if u.ended.Before(killed) { // the scheduler had closed the connection: the client asks elsewhere
			l.note("%s crossed the close of its connection", u.open)
			continue
		}
		if after := u.sent.Sub(terminated); after > laterThan+slack {
			l.violation("%s came %v after SIGTERM and had no answer at SIGKILL", u.open, after)
		}
	}
	if served == 0 {
		return fmt.Errorf("nothing was served")
	}
	l.note("%d requests were served", served)
	return nil
}

// user is a client that sends one request after another on one connection.
type user struct {
	client *client
	number int
	rest   time.Duration // between an answer and the next request, 30 ms at least
	served int
	open   string    // id of the request without an answer; empty if there is none
	sent   time.Time // when it was sent
	ended  time.Time // when the connection ended
}

// run sends requests until the connection ends or stop is closed.
func (u *user) run(stop chan struct{}) {
	defer u.client.close()
	for i := 0; ; i++ {
		u.open = fmt.Sprintf("read-%d-%d", u.number, i)
		u.sent = u.client.ask(&request{class: "doc-read", plan: "premium", id: u.open, timeout: 2 * time.Second,
			volume: u.number, piece: i, units: 2, shard: (u.number + i) % 5, hosts: 1})
		select {
		case r := <-u.client.replies:
			u.client.lab.noteAt(r.at, "client: %s gets %s", u.open, r.text())
			u.open, u.served = "", u.served+1
		case err := <-u.client.ended:
			u.ended = time.Now()
			u.client.lab.note("client: the connection of %s ends: %v", u.open, err)
			return
		}
		select {
		case err := <-u.client.ended:
			u.client.lab.note("client: connection %d ends between requests: %v", u.number, err)
			return
		case <-stop:
			return
		case <-time.After(max(u.rest, 30*time.Millisecond)):
		}
	}
}

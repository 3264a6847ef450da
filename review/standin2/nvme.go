package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"honeyplank/eventloop"
	"honeyplank/initiator"
	"honeyplank/nvme"
	"honeyplank/target"
)

// Figures of settings/examples/gateway.xml.
const (
	exampleSettings = "settings/examples/gateway.xml"
	blockSize       = 4 << 10
	volumeBlocks    = (2 << 30) / blockSize
	volumeCount     = 11
	cellCount       = 6
	maxTransfer     = 128 << 10
	capsuleBytes    = 8 << 10
	nqnPrefix       = "nqn.2026-12.org.honeyplank:"
)

// startProcess starts the program with arguments and ends it with the run. It returns its standard output.
func (l *lab) startProcess(args ...string) (*bufio.Reader, error) {
	command := exec.Command(program, args...)
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	var log bytes.Buffer
	command.Stderr = &log
	if err := command.Start(); err != nil {
		return nil, err
	}
	l.note("started: %s %s", program, strings.Join(args, " "))
	l.atEnd(func() {
		_ = command.Process.Kill() // an ended process needs none
		_ = command.Wait()
		l.note("log of %s:\n%s", args[0], log.String())
	})
	return bufio.NewReader(output), nil
}

// nvmeDisk is a disk server behind NVMe over TCP. It executes the commands that have come, each after the time that its
// size needs, and keeps the blocks that were written. Its buffers for the data of writes are limited.
type nvmeDisk struct {
	lab    *lab
	loop   *eventloop.Loop
	name   string
	server *target.Server
	slow   time.Duration // factor of the time for each command
	blocks map[uint64][]byte
	writes []nvmeWrite
}

// nvmeWrite is a write whose data has come at a disk server.
type nvmeWrite struct {
	volume uint32
	block  uint64
	size   int
	mark   byte // first byte of the data
	at     time.Time
}

// startNVMeDisk starts a disk server on a free loopback port. It must be called on the loop, or before the loop runs.
func (l *lab) startNVMeDisk(loop *eventloop.Loop, name string) (*nvmeDisk, error) {
	d := &nvmeDisk{lab: l, loop: loop, name: name, slow: 1, blocks: map[uint64][]byte{}}
	settings := target.Settings{
		Subsystem:        nqnPrefix + "disk",
		Serial:           "standin2",
		MaxTransfer:      maxTransfer,
		MaxCapsule:       capsuleBytes,
		MaxDataPDU:       32 << 10,
		QueueDepth:       1024,
		MaxQueues:        8,
		HandshakeTimeout: time.Second,
		MaxConnections:   64,
		MaxUnsent:        16 << 20,
		MaxBuffered:      maxTransfer, // data of one write of the largest size
	}
	for id := range uint32(volumeCount) {
		settings.Namespaces = append(settings.Namespaces, target.Namespace{ID: id + 1, Blocks: volumeBlocks, Shift: 12})
	}
	var err error
	d.server, err = target.Listen(loop, anyPort, settings, d)
	return d, err
}

// work returns the time that a command needs: 2 ms and 2 ms for each 1 KiB of a write.
func (d *nvmeDisk) work(c *target.Command) time.Duration {
	work := 2 * time.Millisecond
	if c.Opcode() == nvme.Write {
		work += time.Duration(c.Bytes/1024) * 2 * time.Millisecond
	}
	return work * d.slow
}

// Admit implements target.Handler.
func (d *nvmeDisk) Admit(c *target.Command) {
	if c.Opcode() == nvme.Write {
		w := nvmeWrite{volume: c.NSID(), block: c.SLBA(), size: c.Bytes, mark: c.Data[0], at: time.Now()}
		d.writes = append(d.writes, w)
		d.lab.noteAt(w.at, "%s: the data of write %q has come: volume %d, block %d, %d bytes", d.name, w.mark, w.volume,
			w.block, w.size)
	}
	d.loop.Schedule(d.loop.Now()+d.work(c), func() { d.execute(c) })
}

// execute executes a command and answers it.
func (d *nvmeDisk) execute(c *target.Command) {
	first := uint64(c.NSID())<<32 | c.SLBA()
	var data []byte
	if c.Opcode() == nvme.Write {
		for i := range c.Bytes / blockSize {
			d.blocks[first+uint64(i)] = bytes.Clone(c.Data[i*blockSize : (i+1)*blockSize])
		}
		d.lab.note("%s: write %q of volume %d, block %d is done", d.name, c.Data[0], c.NSID(), c.SLBA())
		d.server.Release(c.Data)
		c.Data = nil
	} else {
		for i := range c.Blocks() {
			block := d.blocks[first+uint64(i)]
			if block == nil {
				block = make([]byte, blockSize)
			}
			data = append(data, block...)
		}
	}
	c.Complete(nvme.Success, 0, 0, data)
}

// ClientGone implements target.Handler. A command that has come is executed all the same.
func (d *nvmeDisk) ClientGone(*target.Command) {}

// LogPage implements target.Handler.
func (d *nvmeDisk) LogPage(id uint8) ([]byte, bool) {
	if id != nvme.LogLoad {
		return nil, false
	}
	return nvme.AppendLoad(nil, nvme.Load{Latency: 100, Inflight: 1}), true
}

// nvmeLab is a gateway with its disk servers and clients, whose loop runs until the end of the run.
type nvmeLab struct {
	*lab
	loop    *eventloop.Loop
	disks   []*nvmeDisk
	address string // of the gateway
}

// deployGateway starts disk servers, the project's fake etcd and a gateway with the settings of the example.
func (l *lab) deployGateway() (*nvmeLab, error) {
	loop, err := eventloop.New(time.Minute)
	if err != nil {
		return nil, err
	}
	g := &nvmeLab{lab: l, loop: loop}
	arguments := []string{"fake", "etcd", "--listen", anyPort}
	for cell := range cellCount {
		d, err := l.startNVMeDisk(loop, fmt.Sprintf("disk %d", cell))
		if err != nil {
			return nil, err
		}
		g.disks = append(g.disks, d)
		arguments = append(arguments, d.server.Address())
	}
	ended := make(chan struct{})
	go func() {
		_ = loop.Run() // if it fails, the commands are not answered
		close(ended)
	}()
	l.atEnd(func() {
		loop.Post(loop.Stop)
		<-ended
	})
	output, err := l.startProcess(arguments...)
	if err != nil {
		return nil, err
	}
	etcd, err := output.ReadString('\n')
	if err != nil {
		return nil, fmt.Errorf("the fake etcd: %w", err)
	}
	if g.address, err = freeAddress(); err != nil {
		return nil, err
	}
	example, err := os.ReadFile(exampleSettings)
	if err != nil {
		return nil, err
	}
	replacer := strings.NewReplacer("127.0.0.1:4420", g.address, "127.0.0.1:2379", strings.TrimSpace(etcd))
	file := filepath.Join(l.folder, "gateway.xml")
	if err := os.WriteFile(file, []byte(replacer.Replace(string(example))), 0o600); err != nil {
		return nil, err
	}
	l.note("settings of the gateway:\n%s", replacer.Replace(string(example)))
	_, err = l.startProcess("serve", file)
	return g, err
}

// nvmeClient is a client of the gateway.
type nvmeClient struct {
	lab         *nvmeLab
	name        string
	association *initiator.Association
	ready       chan error
}

// Ready implements initiator.Handler.
func (c *nvmeClient) Ready(*initiator.Association) { c.ready <- nil }

// Ended implements initiator.Handler.
func (c *nvmeClient) Ended(_ *initiator.Association, err error) {
	select {
	case c.ready <- err:
	default:
	}
}

// connect connects a client, once the gateway listens.
func (g *nvmeLab) connect(name string) (*nvmeClient, error) {
	var err error
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c := &nvmeClient{lab: g, name: name, ready: make(chan error, 2)}
		g.loop.Post(func() {
			c.association = initiator.Dial(g.loop, initiator.Settings{
				Address:        g.address,
				Subsystem:      nqnPrefix + "volumes",
				Host:           nqnPrefix + name,
				HostID:         [16]byte{name[0], name[1]},
				Depth:          32,
				MaxData:        maxTransfer,
				ConnectTimeout: time.Second,
				KeepAlive:      5 * time.Second,
			}, c)
		})
		if err = <-c.ready; err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("the gateway is not ready: %w", err)
}

// nvmeAnswer is the answer to a command of a client.
type nvmeAnswer struct {
	status nvme.Status
	lost   bool
	data   []byte
	sent   time.Time
	at     time.Time
}

// submit sends a read, or a write with data, and returns the channel of its answer.
func (c *nvmeClient) submit(volume uint32, block uint64, blocks int, data []byte) chan nvmeAnswer {
	answers := make(chan nvmeAnswer, 1)
	opcode, size := uint8(nvme.Read), blocks*blockSize
	if data != nil {
		opcode, size = nvme.Write, 0
	}
	var once sync.Once
	c.lab.loop.Post(func() {
		sent := time.Now()
		done := func(r initiator.Result) {
			once.Do(func() {
				answers <- nvmeAnswer{r.Status(), r.ConnectionLost, bytes.Clone(r.Data), sent, time.Now()}
			})
		}
		command := nvme.NewRW(opcode, volume, block, blocks)
		if _, ok := c.association.IO.Submit(command, data, size, initiator.CallbackFunc(done)); !ok {
			answers <- nvmeAnswer{lost: true, sent: sent, at: sent}
		}
	})
	return answers
}

// write submits a write of blocks full of a mark.
func (c *nvmeClient) write(volume uint32, block uint64, blocks int, mark byte) chan nvmeAnswer {
	c.lab.note("client %s: write %q to volume %d, block %d, %d bytes", c.name, mark, volume, block, blocks*blockSize)
	return c.submit(volume, block, blocks, bytes.Repeat([]byte{mark}, blocks*blockSize))
}

// retry calls f until its command is answered with anything but a rejection, which the client may try again.
func (c *nvmeClient) retry(f func() chan nvmeAnswer) nvmeAnswer {
	for {
		answer := <-f()
		if answer.status.Code() != nvme.CommandInterrupted || time.Since(c.lab.begun) > time.Minute {
			return answer
		}
		time.Sleep(50 * time.Millisecond)
	}
}

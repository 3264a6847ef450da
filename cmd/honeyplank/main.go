// Command honeyplank is the gateway's daemon and its operators' tools: flags, files, signals and logging round
// package gateway. It decides nothing.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"honeyplank/settings"
)

type commands struct {
	LogLevel string `help:"Least level of log lines: debug, info, warn, error." default:"info" enum:"debug,info,warn,error"`
	LogText  bool   `help:"Log lines for people instead of JSON."`

	Serve      serveCommand      `cmd:"" help:"Run a gateway."`
	Platform   platformCommand   `cmd:"" help:"Play one scheduler of the operators' platform."`
	Nodes      nodesCommand      `cmd:"" help:"Tell what a gateway of some settings believes of each disk server, and why."`
	Settings   settingsCommand   `cmd:"" help:"Check and show settings."`
	FaultTest  faultTestCommand  `cmd:"" name:"faulttest" aliases:"rehearse" help:"Play a bad day against fakes of disk servers and discovery, and judge the rules."`
	Bench      benchCommand      `cmd:"" help:"Measure what the gateway costs, against fakes asked directly."`
	FuzzCorpus fuzzCorpusCommand `cmd:"" name:"fuzzcorpus" aliases:"corpus" help:"Keep the inputs of the fuzz targets, in a source tree."`
	Fake       fakeCommand       `cmd:"" aliases:"standin" help:"Run a fake disk server, DNS or etcd, to try the gateway on."`
	Version    versionCommand    `cmd:"" help:"Tell the version."`
}

// usageError marks errors of what was given: exit 2.
type usageError struct{ error }

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("honeyplank"), kong.Description("A storage gateway that schedules a host's reads and writes over storage nodes."), kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	level, _ := zerolog.ParseLevel(c.LogLevel)
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	if c.LogText {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.StampMilli})
	}
	if err := k.Run(log); err != nil {
		fmt.Fprintln(os.Stderr, "honeyplank:", err)
		var fault *settings.Error
		if errors.As(err, &fault) || errors.As(err, &usageError{}) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func read(file string) (*settings.Gateway, error) {
	s, err := settings.Read(file)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
		err = usageError{err}
	}
	return s, err
}

type versionCommand struct{}

func (*versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = strings.TrimSpace(info.Main.Version + " " + info.GoVersion)
	}
	fmt.Println("honeyplank", version)
	return nil
}

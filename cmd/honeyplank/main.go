// Command honeyplank is the gateway's daemon, a scheduler of the operators' platform and their tools: flags, files,
// signals and logging round the other packages. It holds no policy and no protocol, and nothing imports it. Each
// subcommand is a struct with its flags whose Run method kong calls on the main goroutine.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"honeyplank/settings"
)

type commands struct {
	LogLevel string `help:"Minimum level of log lines: ${enum}." default:"info" enum:"debug,info,warn,error"`
	LogText  bool   `help:"Log in text form instead of JSON."`

	Serve      serveCommand      `cmd:"" help:"Run a gateway."`
	Platform   platformCommand   `cmd:"" help:"Run one scheduler of the operators' platform."`
	Nodes      nodesCommand      `cmd:"" help:"Print each disk server's state, and its cause."`
	Settings   settingsCommand   `cmd:"" help:"Check and print settings."`
	FaultTest  faultTestCommand  `cmd:"" name:"faulttest" aliases:"rehearse" help:"Run a fault test against fakes."`
	Bench      benchCommand      `cmd:"" help:"Measure what the gateway costs."`
	FuzzCorpus fuzzCorpusCommand `cmd:"" name:"fuzzcorpus" aliases:"corpus" help:"Maintain the fuzz targets' inputs."`
	Fake       fakeCommand       `cmd:"" aliases:"standin" help:"Run a fake disk server, DNS or etcd."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // wrong flags, settings or scripts
)

// usageError is an error of the command line or of a file that it names: exitUsage.
type usageError struct{ error }

func main() {
	var c commands
	parsed := kong.Parse(&c,
		kong.Name("honeyplank"),
		kong.Description("A storage gateway that schedules a host's reads and writes over storage nodes."),
		kong.UsageOnError(),
		kong.Exit(exitParsing),
	)
	if err := parsed.Run(c.logger()); err != nil {
		fmt.Fprintln(os.Stderr, "honeyplank:", err)
		os.Exit(exitCode(err))
	}
}

// exitParsing ends the program where kong does: after help, or with wrong flags.
func exitParsing(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

func exitCode(err error) int {
	var fault *settings.Error
	if errors.As(err, &fault) || errors.As(err, &usageError{}) {
		return exitUsage
	}
	return exitFailure
}

func (c *commands) logger() zerolog.Logger {
	level, _ := zerolog.ParseLevel(c.LogLevel) // kong has checked it
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	if c.LogText {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.StampMilli})
	}
	return log
}

// untilSignal returns a context that is done at SIGINT or SIGTERM.
func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func readSettings(file string) (*settings.Gateway, error) {
	s, err := settings.Read(file)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
		err = usageError{err}
	}
	return s, err
}

// printJSON writes a value to the standard output, as one line.
func printJSON(value any) error { return json.NewEncoder(os.Stdout).Encode(value) }

type versionCommand struct{}

func (*versionCommand) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = strings.TrimSpace(info.Main.Version + " " + info.GoVersion)
	}
	fmt.Println("honeyplank", version)
	return nil
}

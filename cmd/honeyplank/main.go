// Command honeyplank runs the gateway's daemon, a scheduler of the operators' platform, and their tools. It handles
// flags, files, signals and logging for the other packages. It contains no policy and no protocol, and no package
// imports it. Each subcommand is a struct whose fields are its flags. Kong calls its Run method on the main goroutine.
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
	Nodes      nodesCommand      `cmd:"" help:"Print the state of each disk server and its cause."`
	Settings   settingsCommand   `cmd:"" help:"Check and print settings."`
	FaultTest  faultTestCommand  `cmd:"" name:"faulttest" aliases:"rehearse" help:"Run a fault test against fakes."`
	Bench      benchCommand      `cmd:"" help:"Measure the cost of the gateway."`
	FuzzCorpus fuzzCorpusCommand `cmd:"" name:"fuzzcorpus" aliases:"corpus" help:"Maintain the fuzz targets' inputs."`
	Fake       fakeCommand       `cmd:"" aliases:"standin" help:"Run a fake disk server, DNS server or etcd."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2 // wrong flags, settings or scripts
)

// usageError is an error of the command line or of a file that it names. The exit code is exitUsage.
type usageError struct{ error }

func main() {
	var c commands
	parsed := kong.Parse(&c,
		kong.Name("honeyplank"),
		kong.Description("A storage gateway that schedules a host's reads and writes over disk servers."),
		kong.UsageOnError(),
		kong.Exit(exitAfterParsing),
	)
	if err := parsed.Run(c.logger()); err != nil {
		fmt.Fprintln(os.Stderr, "honeyplank:", err)
		os.Exit(exitCode(err))
	}
}

// exitAfterParsing ends the program when kong asks for it: after printing help, or because of wrong flags.
func exitAfterParsing(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

func exitCode(err error) int {
	var settingsError *settings.Error
	if errors.As(err, &settingsError) || errors.As(err, &usageError{}) {
		return exitUsage
	}
	return exitFailure
}

func (c *commands) logger() zerolog.Logger {
	level, _ := zerolog.ParseLevel(c.LogLevel) // kong has checked the level
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger()
	if c.LogText {
		log = log.Output(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.StampMilli})
	}
	return log
}

// signalContext returns a context that is cancelled at SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

func readSettings(file string) (*settings.Gateway, error) {
	s, err := settings.Read(file)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
		err = usageError{err}
	}
	return s, err
}

// printJSON writes a value as one line of JSON to the standard output.
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

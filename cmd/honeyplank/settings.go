package main

import (
	"errors"
	"fmt"
	"honeyplank/settings"
	"os"
)

type settingsCommand struct {
	Check  checkCommand  `cmd:"" help:"Tell whether files are right."`
	Show   showCommand   `cmd:"" help:"Print settings with what was left to defaults."`
	Schema schemaCommand `cmd:"" help:"Print the XML schema."`
}

type checkCommand struct {
	Files []string `arg:"" help:"Files to check."`
}

func (c *checkCommand) Run() error {
	var all error
	for _, f := range c.Files {
		if _, err := read(f); err != nil {
			all = errors.Join(all, err)
		} else {
			fmt.Println(f + ": right")
		}
	}
	return all
}

type showCommand struct {
	File string `arg:"" help:"Settings, as XML."`
}

func (c *showCommand) Run() error {
	s, err := read(c.File)
	if err != nil {
		return err
	}
	b, err := s.XML()
	os.Stdout.Write(b)
	return err
}

type schemaCommand struct{}

func (*schemaCommand) Run() error {
	_, err := os.Stdout.Write(settings.Schema)
	return err
}

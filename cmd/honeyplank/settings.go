package main

import (
	"errors"
	"fmt"
	"os"

	"honeyplank/settings"
)

type settingsCommand struct {
	Check  checkCommand  `cmd:"" help:"Check files for errors."`
	Show   showCommand   `cmd:"" help:"Print the settings as the program reads them."`
	Schema schemaCommand `cmd:"" help:"Print the XML schema."`
}

type checkCommand struct {
	Files []string `arg:"" help:"Files to check."`
}

func (c *checkCommand) Run() error {
	var all error
	for _, file := range c.Files {
		if _, err := readSettings(file); err != nil {
			all = errors.Join(all, err)
			continue
		}
		fmt.Println(file + ": valid")
	}
	return all
}

type showCommand struct {
	File string `arg:"" help:"Settings, as XML."`
}

func (c *showCommand) Run() error {
	s, err := readSettings(c.File)
	if err != nil {
		return err
	}
	text, err := s.XML()
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(text)
	return err
}

type schemaCommand struct{}

func (*schemaCommand) Run() error {
	_, err := os.Stdout.Write(settings.Schema)
	return err
}

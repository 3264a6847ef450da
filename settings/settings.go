// Package settings reads a gateway's settings and fault test scripts from XML, checks them against the schema beside
// it and among each other, and hands them over: to the decision module under the module's own names, to the other
// packages as fields. It sets no value of its own, keeps no state and starts no goroutine; its functions may be called
// from any. The commands call it when they start, the gateway and the fault tests read the fields.
package settings

import (
	"encoding/xml"
	"fmt"
	"os"
)

// Gateway is a file of settings; with FaultTest it is a script. docs/settings.md explains each field.
type Gateway struct {
	XMLName      xml.Name     `xml:"honeyplank"`
	Version      string       `xml:"version,attr"`
	Listen       Listen       `xml:"listen"`
	EndpointList EndpointList `xml:"list"`
	Scheduler    Scheduler    `xml:"scheduler"`
	Dispatches   Dispatches   `xml:"dispatches"`
	OpTypes      []OpType     `xml:"op-types>op-type"`
	Plans        Plans        `xml:"plans"`
	Volumes      Volumes      `xml:"volumes"`
	Policy       Policy       `xml:"rules"`
	Limits       Limits       `xml:"limits"`
	DiskServers  DiskServers  `xml:"disk-servers"`
	FaultTest    *FaultTest   `xml:"rehearsal"`
}

// Read reads and checks a file. What is wrong with its content is an *Error.
func Read(file string) (*Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse checks a text and reads it; file names it in errors.
func Parse(file string, text []byte) (*Gateway, error) {
	s, err := loadSchema()
	if err != nil {
		return nil, fmt.Errorf("settings: the schema: %w", err)
	}
	root, err := parseDocument(file, text)
	if err != nil {
		return nil, err
	}
	if err := s.check(root); err != nil {
		return nil, err
	}
	g := &Gateway{}
	if err := xml.Unmarshal(text, g); err != nil {
		return nil, root.at.fault(err.Error(), "")
	}
	if err := validate(g, root); err != nil {
		return nil, err
	}
	return g, nil
}

// XML writes the settings out, with what was left to defaults.
func (g *Gateway) XML() ([]byte, error) {
	b, err := xml.MarshalIndent(g, "", "  ")
	return append(b, '\n'), err
}

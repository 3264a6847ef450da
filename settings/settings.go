// Package settings reads the settings of a gateway and the scripts of fault tests from XML. It checks a file against
// the embedded XML schema, and then checks the constraints between values that the schema can't express. The commands
// call it when they start. The gateway and the fault tests read the settings as struct fields; the decision module gets
// a honeyplank.Settings. All values come from the file, except for the defaults of optional attributes and the fixed
// abilities of the gateway. The package keeps no state and starts no goroutine. Its functions may be called from any
// goroutine.
package settings

import (
	"encoding/xml"
	"fmt"
	"os"
)

// Gateway is the content of a settings file. If FaultTest is set, the file is the script of a fault test.
// docs/settings.md explains each field.
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

// Read reads and checks a file. If the content is not valid, it returns an *Error.
func Read(file string) (*Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse checks and reads the text of a settings file. If the text is not valid, it returns an *Error, with file as the
// name of the file.
func Parse(file string, text []byte) (*Gateway, error) {
	s, err := loadSchema()
	if err != nil {
		return nil, fmt.Errorf("settings: read the embedded schema: %w", err)
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
		return nil, root.at.newError(err.Error(), "")
	}
	if err := validate(g, root); err != nil {
		return nil, err
	}
	return g, nil
}

// XML encodes the settings as a file that Parse reads back as the same settings.
func (g *Gateway) XML() ([]byte, error) {
	b, err := xml.MarshalIndent(g, "", "  ")
	return append(b, '\n'), err
}

package settings_test

import (
	"errors"
	"fmt"

	"honeyplank/nvme"
	"honeyplank/settings"
)

// Read parses a settings file. Its sections are struct fields, and ModuleSettings converts the part that the decision
// module uses.
func ExampleRead() {
	g, err := settings.Read("examples/gateway.xml")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("listens on", g.Listen.Address)
	fmt.Println("ops have at most", g.ModuleSettings().Dispatches.Max, "dispatches")
	fmt.Println("a Read of 8 KiB is of op type", g.OpTypes[g.OpTypeIndex(nvme.Read, 8<<10)].Name)
	// Output:
	// listens on 127.0.0.1:4420
	// ops have at most 4 dispatches
	// a Read of 8 KiB is of op type read
}

// An invalid file gives an Error with the place, the problem and what is expected.
func ExampleParse() {
	_, err := settings.Parse("gateway.xml", []byte(`<honeyplank version="2"/>`))
	var settingsError *settings.Error
	if errors.As(err, &settingsError) {
		fmt.Println("line:", settingsError.Line)
		fmt.Println("problem:", settingsError.Problem)
		fmt.Println("expected:", settingsError.Expected)
	}
	// Output:
	// line: 1
	// problem: version="2" of <honeyplank> is not valid
	// expected: it must be one of "1"
}

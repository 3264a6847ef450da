package gateway_test

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"honeyplank/gateway"
	"honeyplank/settings"
)

// An instance is created from settings, serves on a goroutine and is shut down gracefully. It reads the list of disk
// servers from etcd; in this example nothing listens at the etcd endpoint, so no disk servers are known.
func Example() {
	config, err := settings.Parse("example.xml", []byte(testSettings))
	if err != nil {
		fmt.Println(err)
		return
	}
	instance, err := gateway.New(gateway.Options{Settings: config, Seed: 1, Log: zerolog.Nop()})
	if err != nil {
		fmt.Println(err)
		return
	}
	served := make(chan error, 1)
	go func() { served <- instance.Serve(context.Background()) }()

	counts, ok := instance.Counts()
	fmt.Println("serving:", ok, "admitted:", counts.Admitted)

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	fmt.Println("shutdown:", instance.Shutdown(ctx))
	fmt.Println("served:", <-served)
	// Output:
	// serving: true admitted: 0
	// shutdown: <nil>
	// served: <nil>
}

// Command lycheectl is the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"lycheevale/internal/tool/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}

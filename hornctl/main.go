// Command hornctl is the command-line tool for operators. It checks and submits
// tickets and shows the status and the event timeline of all instances.
package main

import (
	"context"
	"os"

	"hornbeamstream.example/hornctl/commands"
)

func main() {
	os.Exit(commands.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

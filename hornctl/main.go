// Command hornctl is the operators' tool: it checks and submits tickets, and
// shows the state and the timeline of all instances.
package main

import (
	"context"
	"os"

	"hornbeamstream.example/hornctl/commands"
)

func main() {
	os.Exit(commands.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}

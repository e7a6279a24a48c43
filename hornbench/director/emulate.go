package director

import (
	"context"
	"fmt"
	"io"
)

// Emulate runs the stand-ins of a deployment until the context ends. With
// ticket set, the first ticket is submitted.
func Emulate(ctx context.Context, out io.Writer, d *Deployment, factor float64, ticket bool) error {
	w, err := NewWorld(d, factor)
	if err != nil {
		return err
	}
	defer w.Close()
	if ticket {
		if err := d.first(ctx); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "platform at %s, %d upstreams, control at http://%s\n", d.Settings[0].Platform, len(d.Upstreams), d.beside(controlPort))
	for i, file := range d.Files {
		fmt.Fprintf(out, "instance %s: front %s, settings %s\n", d.Settings[i].Name, d.Settings[i].Front, file)
	}
	<-ctx.Done()
	return nil
}

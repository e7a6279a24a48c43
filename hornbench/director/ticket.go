package director

import (
	"context"
	"encoding/json"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/submitter"
)

// submit writes a ticket to the deployment's platform.
func (d *Deployment) submit(ctx context.Context, t loader.Ticket) error {
	c, err := connector.New(d.Settings[0].Platform)
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = submitter.Submit(ctx, c, t)
	return err
}

// ticket builds the ticket after a version from objects.
func ticket(base uint64, author, reason string, objects map[string]any) (loader.Ticket, error) {
	t := loader.Ticket{Base: base, Author: author, Reason: reason, Objects: map[string]json.RawMessage{}}
	for key, v := range objects {
		b, err := json.Marshal(v)
		if err != nil {
			return t, err
		}
		t.Objects[key] = b
	}
	return t, nil
}

// first submits the deployment's first ticket.
func (d *Deployment) first(ctx context.Context) error {
	return d.submit(ctx, loader.Ticket{Author: "demo", Reason: "first state", Objects: d.Ticket})
}

package director

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"hornbeamstream.example/core/loader"
)

// errRaced tells that another writer has the ticket number.
var errRaced = errors.New("the number belongs to another ticket")

// submit writes a ticket with create-if-absent.
func submit(ctx context.Context, platform string, t loader.Ticket) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("ticket %d: %w", t.Number, err)
		}
	}()
	body, err := json.Marshal(t)
	if err != nil {
		return err
	}
	url := fmt.Sprintf("%s/v1/objects/ticket/%08d?create=1", platform, t.Number)
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	switch a.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return errRaced
	}
	text, _ := io.ReadAll(io.LimitReader(a.Body, 256))
	return fmt.Errorf("platform answers %d: %s", a.StatusCode, text)
}

// ticket builds the ticket with a number from objects.
func ticket(number uint64, author, reason string, objects map[string]any) (loader.Ticket, error) {
	t := loader.Ticket{
		Number: number, Base: number - 1, Author: author, Reason: reason,
		Nonce: author + "-" + strconv.FormatInt(time.Now().UnixNano(), 36),
		Time:  time.Now(), Objects: map[string]json.RawMessage{},
	}
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
	t, err := ticket(1, "demo", "first state", nil)
	if err != nil {
		return err
	}
	t.Objects = d.Ticket
	return submit(ctx, d.Settings[0].Platform, t)
}

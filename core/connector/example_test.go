package connector_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/submitter"
)

func ExampleNew() {
	platform, err := connector.New("http://127.0.0.1:1")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer platform.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err = platform.Get(ctx, "ticket/00000001")
	fmt.Println(errors.Is(err, submitter.ErrUnavailable))
	// Output: true
}

package reporter_test

import (
	"encoding/json"
	"fmt"

	"hornbeamstream.example/core/reporter"
)

func ExampleUpstream() {
	u := reporter.Upstream{Name: "lookup-1", Service: "lookup", Slots: 6, Limit: 4, InFlight: 1}
	b, err := json.Marshal(u)
	fmt.Println(string(b), err)
	// Output: {"name":"lookup-1","service":"lookup","slots":6,"limit":4,"busy":1,"leaving":false} <nil>
}

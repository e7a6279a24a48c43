package router

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkCapacity varies one dimension of targetFleet at a time: instances,
// upstreams of each service and slots of an upstream.
func BenchmarkCapacity(b *testing.B) {
	size := func(instances, upstreams, slots int) fleet {
		f := targetFleet
		f.instances, f.upstreams, f.slots = instances, upstreams, []int{slots, slots, slots}
		return f
	}
	for _, f := range []fleet{
		size(11, 150, 64),
		size(40, 150, 64),
		size(160, 150, 64),
		size(640, 150, 64),
		size(640, 50, 64),
		size(640, 300, 64),
		size(640, 600, 64),
		size(640, 150, 320),
		size(640, 150, 1000),
	} {
		name := fmt.Sprintf("instances=%d/upstreams=%d/slots=%d", f.instances, f.upstreams, f.slots[0])
		b.Run("build/changed=view/"+name, func(b *testing.B) { benchmarkRebuild(b, f, true) })
		b.Run("build/changed=holdings/"+name, func(b *testing.B) { benchmarkRebuild(b, f, false) })
		b.Run("choose/"+name, func(b *testing.B) { benchmarkChoose(b, f, "lookup", 9, true) })
	}
}

func benchmarkRebuild(b *testing.B, f fleet, view bool) {
	in := f.input(0)
	in.Previous = Build(in)
	b.ReportAllocs()
	for b.Loop() {
		in.Holdings.Deadline = in.Holdings.Deadline.Add(time.Second)
		if view {
			in.Views = slices.Clone(in.Views)
			in.Views[0].Sequence++
		}
		in.Previous = Build(in)
	}
}

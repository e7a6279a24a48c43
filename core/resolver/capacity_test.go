package resolver

import (
	"fmt"
	"net/netip"
	"testing"

	"hornbeamstream.example/core/granter"
)

// BenchmarkCapacity varies blocks and instances one at a time. A table is built
// from nothing, and after a change of a view.
func BenchmarkCapacity(b *testing.B) {
	for _, z := range []struct{ blocks, instances int }{
		{1_200, 640},
		{12_000, 640},
		{60_000, 640},
		{120_000, 640},
		{12_000, 11},
		{12_000, 44},
		{12_000, 165},
	} {
		in := large(z.blocks)
		in.Views = in.Views[:0]
		for d := range 11 {
			v := granter.View{Domain: fmt.Sprintf("d%d", d), Epoch: 1}
			for m := d; m < z.instances; m += 11 {
				v.Members = append(v.Members, granter.Member{Front: fmt.Sprintf("127.1.%d.%d:7000", d, m/11)})
			}
			in.Views = append(in.Views, v)
		}
		in.Config.ModifiedVersions = map[string]uint64{"blocks/0": 1}
		name := fmt.Sprintf("blocks=%d/instances=%d", z.blocks, z.instances)
		b.Run("build/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(in)
			}
		})
		table := Build(in)
		in.Previous = table
		b.Run("rebuild/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Build(in)
			}
		})
		b.Run("lookup/"+name, func(b *testing.B) {
			buffer := make([]byte, 0, 512)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				n := i * 40503 % z.blocks
				addr := netip.AddrFrom4([4]byte{byte(10 + n>>16), byte(n >> 8), byte(n), 9})
				buffer = table.AppendAnswer(buffer[:0], addr, 1_800_000_000_000)
			}
		})
	}
}

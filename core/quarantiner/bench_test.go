package quarantiner

import "testing"

// BenchmarkAdmit decides on requests that have crashed nothing, while no request has and
// while as many have as are remembered.
func BenchmarkAdmit(b *testing.B) {
	var l List
	for d := Digest(1); d <= maxRecords; d++ {
		l.ObserveCrash(start, d, 1)
	}
	for name, s := range map[string]*Set{"none": nil, "full": l.Set(nil, 0, 9)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if !s.Empty() && !s.Admit(Digest(n)<<32, start).Admitted {
					b.Fatal("refused")
				}
			}
		})
	}
}
